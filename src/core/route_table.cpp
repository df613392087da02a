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

/// \param Below the path goes on behind the prefix.
const RouteRecord *forMethod(const std::vector<RouteRecord> &Routes,
                             std::string_view Method, bool Below) {
  const RouteRecord *AnyMethod = nullptr;
  for (const RouteRecord &Route : Routes) {
    if (Route.BelowPrefixOnly && !Below)
      continue;
    if (Route.Methods.empty())
      AnyMethod = &Route;
    else if (std::find(Route.Methods.begin(), Route.Methods.end(), Method) !=
             Route.Methods.end())
      return &Route;
  }
  return AnyMethod;
}

std::string keyOf(const std::string &Host, const std::string &Prefix) {
  return Host + "\n" + Prefix;
}

} // namespace

void RouteTable::add(const RouteRecord &Route) {
  this->remove(Route);
  const std::string Key = keyOf(Route.Host, normalized(Route.PathPrefix));
  const auto *Held = this->ByPrefix.find(Key);
  std::vector<RouteRecord> Routes =
      Held == nullptr ? std::vector<RouteRecord>() : *Held;
  Routes.push_back(Route);
  this->ByPrefix.set(Key, std::move(Routes));
  ++this->Count;
}

void RouteTable::remove(const RouteRecord &Route) {
  const std::string Key = keyOf(Route.Host, normalized(Route.PathPrefix));
  const auto *Held = this->ByPrefix.find(Key);
  if (Held == nullptr)
    return;
  std::vector<RouteRecord> Routes = *Held;
  const std::size_t Removed = std::erase_if(
      Routes, [&](const RouteRecord &Each) { return Each.Name == Route.Name; });
  if (Removed == 0)
    return;
  this->Count -= Removed;
  if (Routes.empty())
    this->ByPrefix.erase(Key);
  else
    this->ByPrefix.set(Key, std::move(Routes));
}

const RouteRecord *RouteTable::findAt(const std::string &Host,
                                      std::string_view Path,
                                      std::string_view Method) const {
  std::string Prefix = normalized(std::string(Path));
  while (true) {
    const auto *Routes = this->ByPrefix.find(keyOf(Host, Prefix));
    if (Routes != nullptr)
      if (const RouteRecord *Route =
              forMethod(*Routes, Method, Path.size() > Prefix.size()))
        return Route;
    if (Prefix.empty())
      return nullptr;
    const std::size_t Slash = Prefix.rfind('/');
    Prefix.resize(Slash == std::string::npos ? 0 : Slash);
  }
}

const RouteRecord *RouteTable::find(const std::string &Host,
                                    std::string_view Path,
                                    std::string_view Method) const {
  if (const RouteRecord *Route = this->findAt(Host, Path, Method))
    return Route;
  return Host.empty() ? nullptr : this->findAt("", Path, Method);
}

} // namespace siskinstage
