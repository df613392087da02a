#ifndef SISKINSTAGE_NET_LOAD_PATTERN_H
#define SISKINSTAGE_NET_LOAD_PATTERN_H

#include <cstddef>
#include <string>

namespace siskinstage {

/// Header that names one piece of test work.
inline constexpr const char *WorkHeader = "Load-Work";
/// Header with the time that a stand-in target works, in microseconds.
inline constexpr const char *CostHeader = "Load-Cost-Us";
/// Header with the length of the answer's body, in bytes.
inline constexpr const char *SizeHeader = "Load-Answer-Bytes";
/// Header that makes a stand-in target crash.
inline constexpr const char *PoisonHeader = "Load-Poison";

/// \p Bytes bytes that only \p Work gives, so that an answer can be told from
/// any other.
std::string payloadPattern(const std::string &Work, std::size_t Bytes);

/// Hexadecimal hash of \p Body, by which an upload is compared.
std::string payloadHash(const std::string &Body);

} // namespace siskinstage

#endif // SISKINSTAGE_NET_LOAD_PATTERN_H
