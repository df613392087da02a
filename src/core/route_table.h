#ifndef SISKINSTAGE_CORE_ROUTE_TABLE_H
#define SISKINSTAGE_CORE_ROUTE_TABLE_H

#include "core/cow_map.h"
#include "siskinstage/route_record.h"

#include <string>
#include <string_view>
#include <vector>

namespace siskinstage {

/// Finds the route of a request: the request's host before any host, the
/// longest path prefix first, and a route with methods before one without.
/// Copies share what they have in common.
class RouteTable {
public:
  void add(const RouteRecord &Route);
  void remove(const RouteRecord &Route);

  /// \param Host lower case, without port.
  /// \param Path the path without query.
  /// \returns the route, or null if none matches.
  [[nodiscard]] const RouteRecord *find(const std::string &Host,
                                        std::string_view Path,
                                        std::string_view Method) const;
  [[nodiscard]] std::size_t size() const { return this->Count; }

private:
  /// Routes by host and prefix.
  CowMap<std::string, std::vector<RouteRecord>> ByPrefix;
  std::size_t Count = 0;

  [[nodiscard]] const RouteRecord *findAt(const std::string &Host,
                                          std::string_view Path,
                                          std::string_view Method) const;
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_ROUTE_TABLE_H
