#ifndef SISKINSTAGE_CORE_REQUESTS_REPEATABILITY_H
#define SISKINSTAGE_CORE_REQUESTS_REPEATABILITY_H

#include "core/callers/http_refusal.h"

#include <optional>
#include <string>

namespace siskinstage {

/// Whether a request may run more than once.
enum class Repeatability { Repeatable, AtMostOnce };

/// Decides by the caller's header, else by the route, else by the idempotent
/// methods of RFC 9110. A route that is configured as not repeatable overrides
/// the header.
/// \param Header       value of Siskinstage-Repeatable, if present.
/// \param RouteSetting whether the route is repeatable, if configured.
/// \returns a refusal with status 400 if the header is neither "yes" nor "no".
HttpResult<Repeatability>
decideRepeatability(const std::optional<std::string> &Header,
                    std::optional<bool> RouteSetting,
                    const std::string &Method);

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_REQUESTS_REPEATABILITY_H
