#include "core/route_table.h"

#include <algorithm>

namespace siskinstage {

namespace {

/// The prefix without a trailing "/", so that "/a/" and "/a" are one.
std::string normalized(const std::string &Prefix) {
  std::string Result = Prefix;
  while (!Result.empty() && Result.back() == '/')
    Result.pop_back();
  return Result;
}

const RouteRecord *forMethod(const std::vector<RouteRecord> &Routes,
                             std::string_view Method) {
  const RouteRecord *AnyMethod = nullptr;
  for (const RouteRecord &Route : Routes) {
    if (Route.Methods.empty())
      AnyMethod = &Route;
    else if (std::find(Route.Methods.begin(), Route.Methods.end(), Method) !=
             Route.Methods.end())
      return &Route;
  }
  return AnyMethod;
}

} // namespace

void RouteTable::add(const RouteRecord &Route) {
  this->ByHost[Route.Host][normalized(Route.PathPrefix)].push_back(Route);
  ++this->Count;
}

const RouteRecord *RouteTable::findIn(const ByPrefix &Prefixes,
                                      std::string_view Path,
                                      std::string_view Method) {
  std::string Prefix = normalized(std::string(Path));
  while (true) {
    const auto Found = Prefixes.find(Prefix);
    if (Found != Prefixes.end())
      if (const RouteRecord *Route = forMethod(Found->second, Method))
        return Route;
    if (Prefix.empty())
      return nullptr;
    Prefix.resize(Prefix.rfind('/') == std::string::npos ? 0
                                                         : Prefix.rfind('/'));
  }
}

const RouteRecord *RouteTable::find(const std::string &Host,
                                    std::string_view Path,
                                    std::string_view Method) const {
  for (const std::string &Key : {Host, std::string()}) {
    const auto Prefixes = this->ByHost.find(Key);
    if (Prefixes == this->ByHost.end())
      continue;
    if (const RouteRecord *Route = findIn(Prefixes->second, Path, Method))
      return Route;
  }
  return nullptr;
}

} // namespace siskinstage
