#ifndef SISKINSTAGE_ROUTE_RECORD_H
#define SISKINSTAGE_ROUTE_RECORD_H

#include "siskinstage/strong_id.h"
#include "siskinstage/units.h"

#include <optional>
#include <string>
#include <vector>

namespace siskinstage {

/// One of several services that share the requests of a route.
struct RouteBackend {
  ServiceName Service;
  std::uint32_t Weight = 1; ///< Relative share of the requests.
};

/// Sends the requests with a host, path prefix and method to a service.
struct RouteRecord {
  RouteName Name;
  std::string Host;       ///< Lower case, without port; empty for any host.
  std::string PathPrefix; ///< Starts with "/"; matches whole segments.
  /// Only paths that continue after the prefix and a "/" match, not the prefix
  /// itself.
  bool BelowPrefixOnly = false;
  std::vector<std::string> Methods; ///< Empty for any method.
  ServiceName Service;              ///< Empty if Backends is not.
  std::vector<RouteBackend> Backends;
  /// Whether a request may run more than once; if unset, idempotent methods
  /// may.
  std::optional<bool> Repeatable;
  /// Maximum number of attempts per request; zero, or any higher value, stands
  /// for config::MaxAttempts.
  std::uint32_t MaxAttempts = 0;
  Millis Timeout{};   ///< Upper bound of a request's deadline; zero for none.
  Millis Objective{}; ///< Latency objective; zero for none.
  std::uint32_t Priority = 0; ///< Priority of its requests; 0 is the highest.
  bool Public = false;        ///< Its requests need no API key.
};

} // namespace siskinstage

#endif // SISKINSTAGE_ROUTE_RECORD_H
