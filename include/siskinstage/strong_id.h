#ifndef SISKINSTAGE_STRONG_ID_H
#define SISKINSTAGE_STRONG_ID_H

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace siskinstage {

/// A name of one kind of thing. \p Tag keeps, say, a service name from being
/// passed where an account name belongs.
template <typename Tag> struct StrongId {
  std::string Value;

  StrongId() = default;
  explicit StrongId(std::string Text) : Value(std::move(Text)) {}

  [[nodiscard]] const std::string &str() const { return this->Value; }
  [[nodiscard]] bool empty() const { return this->Value.empty(); }
  auto operator<=>(const StrongId &) const = default;
};

using ServiceName = StrongId<struct ServiceNameTag>;
using RouteName = StrongId<struct RouteNameTag>;
using AccountName = StrongId<struct AccountNameTag>;
using TargetId = StrongId<struct TargetIdTag>;
using NodeId = StrongId<struct NodeIdTag>;
using FailureDomain = StrongId<struct FailureDomainTag>;
using RequestId = StrongId<struct RequestIdTag>;
/// An IPv4 address and port, written "a.b.c.d:port".
using Address = StrongId<struct AddressTag>;

} // namespace siskinstage

template <typename Tag> struct std::hash<siskinstage::StrongId<Tag>> {
  std::size_t operator()(const siskinstage::StrongId<Tag> &Id) const noexcept {
    return std::hash<std::string>{}(Id.Value);
  }
};

#endif // SISKINSTAGE_STRONG_ID_H
