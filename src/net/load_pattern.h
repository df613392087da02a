#ifndef SISKINSTAGE_NET_LOAD_PATTERN_H
#define SISKINSTAGE_NET_LOAD_PATTERN_H

#include <cstddef>
#include <string>

namespace siskinstage {

/// Header with the name of a load-test request.
inline constexpr const char *WorkHeader = "Load-Work";
/// Header with the processing time at a stand-in target, in microseconds.
inline constexpr const char *CostHeader = "Load-Cost-Us";
/// Header with the length of the response body, in bytes.
inline constexpr const char *SizeHeader = "Load-Answer-Bytes";
/// Header that makes a stand-in target crash.
inline constexpr const char *PoisonHeader = "Load-Poison";

/// A body of \p Bytes bytes derived from \p Work, so that it can't be mistaken
/// for the body of another request.
std::string payloadPattern(const std::string &Work, std::size_t Bytes);

/// Hexadecimal hash of \p Body, to verify an upload.
std::string payloadHash(const std::string &Body);

} // namespace siskinstage

#endif // SISKINSTAGE_NET_LOAD_PATTERN_H
