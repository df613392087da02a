#ifndef SISKINSTAGE_CORE_RATE_LIMIT_HEADER_H
#define SISKINSTAGE_CORE_RATE_LIMIT_HEADER_H

#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace siskinstage {

/// Reads the rate limit that a target states in a response: a decimal number of
/// requests per second, from config::MinTargetRate to config::MaxTargetRate
/// after rounding to that range. \param Values all values of the header; of
/// several, the lowest one counts. \returns nothing if \p Values is empty, or
/// an error if none is a positive
///          finite number.
tl::expected<std::optional<double>, std::string>
parseRateLimit(const std::vector<std::string> &Values);

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_RATE_LIMIT_HEADER_H
