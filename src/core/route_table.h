#ifndef SISKINSTAGE_CORE_ROUTE_TABLE_H
#define SISKINSTAGE_CORE_ROUTE_TABLE_H

#include "siskinstage/route_record.h"

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace siskinstage {

/// Finds the route of a request: the request's host before any host, the
/// longest path prefix first, and a route with methods before one without.
class RouteTable {
public:
  void add(const RouteRecord &Route);

  /// \param Host lower case, without port.
  /// \param Path the path without query.
  /// \returns the route, or null if none matches.
  [[nodiscard]] const RouteRecord *find(const std::string &Host,
                                        std::string_view Path,
                                        std::string_view Method) const;
  [[nodiscard]] std::size_t size() const { return this->Count; }

private:
  using Routes = std::vector<RouteRecord>;
  using ByPrefix = std::unordered_map<std::string, Routes>;
  std::unordered_map<std::string, ByPrefix> ByHost;
  std::size_t Count = 0;

  static const RouteRecord *findIn(const ByPrefix &Prefixes,
                                   std::string_view Path,
                                   std::string_view Method);
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_ROUTE_TABLE_H
