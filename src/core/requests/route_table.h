#ifndef SISKINSTAGE_CORE_REQUESTS_ROUTE_TABLE_H
#define SISKINSTAGE_CORE_REQUESTS_ROUTE_TABLE_H

#include "core/cow_map.h"
#include "siskinstage/route_record.h"

#include <string>
#include <string_view>
#include <vector>

namespace siskinstage {

/// Finds the route of a request: routes of its host precede routes for any
/// host, then the longest path prefix wins, then a route for its method
/// precedes one for any method. Copies share unchanged parts.
class RouteTable {
public:
  void add(const RouteRecord &Route);
  void remove(const RouteRecord &Route);

  /// \param Host the host in lower case, without port.
  /// \param Path the path without query.
  /// \returns the route, or null if none matches.
  [[nodiscard]] const RouteRecord *find(const std::string &Host,
                                        std::string_view Path,
                                        std::string_view Method) const;
  /// Whether not all routes have the same priority.
  [[nodiscard]] bool prioritiesDiffer() const;
  [[nodiscard]] std::size_t size() const { return this->Count; }

private:
  /// Routes by host and path prefix.
  CowMap<std::string, std::vector<RouteRecord>> ByPrefix;
  std::size_t Count = 0;

  [[nodiscard]] const RouteRecord *findForHost(const std::string &Host,
                                               std::string_view Path,
                                               std::string_view Method) const;
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_REQUESTS_ROUTE_TABLE_H
