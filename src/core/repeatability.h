#ifndef SISKINSTAGE_CORE_REPEATABILITY_H
#define SISKINSTAGE_CORE_REPEATABILITY_H

#include "core/http_refusal.h"

#include <optional>
#include <string>

namespace siskinstage {

/// Whether a request may run more than once.
enum class Repeatability { Repeatable, AtMostOnce };

/// Decides by the caller's mark, else the route, else RFC 9110's list of
/// idempotent methods. A request that the route calls not repeatable stays so
/// whatever its caller marks.
/// \param Mark value of Siskinstage-Repeatable, if the header is there.
HttpResult<Repeatability>
decideRepeatability(const std::optional<std::string> &Mark,
                    std::optional<bool> RouteSays, const std::string &Method);

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_REPEATABILITY_H
