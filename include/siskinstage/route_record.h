#ifndef SISKINSTAGE_ROUTE_RECORD_H
#define SISKINSTAGE_ROUTE_RECORD_H

#include "siskinstage/strong_id.h"

#include <optional>
#include <string>
#include <vector>

namespace siskinstage {

/// Sends the requests of one host, path prefix and set of methods to a service.
struct RouteRecord {
  RouteName Name;
  std::string Host;       ///< Lower case, no port; empty for every host.
  std::string PathPrefix; ///< Starts with "/"; whole segments are matched.
  std::vector<std::string> Methods; ///< Empty for every method.
  ServiceName Service;
  /// Whether a request may run twice; unset leaves it to the method.
  std::optional<bool> Repeatable;
};

} // namespace siskinstage

#endif // SISKINSTAGE_ROUTE_RECORD_H
