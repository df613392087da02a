#include "core/requests/route_table.h"

#include <algorithm>
#include <optional>

namespace siskinstage {

namespace {

/// The prefix without trailing "/", so that "/a/" and "/a" are equal.
std::string normalized(const std::string &Prefix) {
  std::string Result = Prefix;
  while (!Result.empty() && Result.back() == '/')
    Result.pop_back();
  return Result;
}

/// The route for \p Method, or else one for any method, or null.
/// \param Below whether the path continues after the prefix.
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
  const auto *Found = this->ByPrefix.find(Key);
  std::vector<RouteRecord> Routes =
      Found == nullptr ? std::vector<RouteRecord>() : *Found;
  Routes.push_back(Route);
  this->ByPrefix.set(Key, std::move(Routes));
  ++this->Count;
}

void RouteTable::remove(const RouteRecord &Route) {
  const std::string Key = keyOf(Route.Host, normalized(Route.PathPrefix));
  const auto *Found = this->ByPrefix.find(Key);
  if (Found == nullptr)
    return;
  std::vector<RouteRecord> Routes = *Found;
  const std::size_t Removed =
      std::erase_if(Routes, [&](const RouteRecord &Other) {
        return Other.Name == Route.Name;
      });
  if (Removed == 0)
    return;
  this->Count -= Removed;
  if (Routes.empty())
    this->ByPrefix.erase(Key);
  else
    this->ByPrefix.set(Key, std::move(Routes));
}

bool RouteTable::prioritiesDiffer() const {
  std::optional<std::uint32_t> First;
  bool Differ = false;
  this->ByPrefix.forEach([&](const auto &, const auto &Routes) {
    for (const RouteRecord &Route : Routes) {
      Differ = Differ || (First && *First != Route.Priority);
      First = Route.Priority;
    }
  });
  return Differ;
}

const RouteRecord *RouteTable::findForHost(const std::string &Host,
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
  if (const RouteRecord *Route = this->findForHost(Host, Path, Method))
    return Route;
  return Host.empty() ? nullptr : this->findForHost("", Path, Method);
}

} // namespace siskinstage
