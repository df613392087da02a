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
  std::uint32_t Weight = 1; ///< Share of the requests, against the others'.
};

/// Sends the requests of one host, path prefix and set of methods to a service.
struct RouteRecord {
  RouteName Name;
  std::string Host;       ///< Lower case, no port; empty for every host.
  std::string PathPrefix; ///< Starts with "/"; whole segments are matched.
  /// Only paths that go on behind the prefix and a "/" match, not the prefix
  /// by itself.
  bool BelowPrefixOnly = false;
  std::vector<std::string> Methods; ///< Empty for every method.
  ServiceName Service;              ///< Empty if Backends are set.
  std::vector<RouteBackend> Backends;
  /// Whether a request may run twice; unset leaves it to the method.
  std::optional<bool> Repeatable;
  /// Most targets to which one request goes; zero for the fleet's limit.
  std::uint32_t MaxAttempts = 0;
  Millis Timeout{};   ///< Longest time to keep a caller waiting; zero for none.
  Millis Objective{}; ///< An answer within it is in time; zero for none.
  std::uint32_t Priority = 0; ///< Rank among requests; 0 goes first.
};

} // namespace siskinstage

#endif // SISKINSTAGE_ROUTE_RECORD_H
