#ifndef SISKINSTAGE_STRONG_ID_H
#define SISKINSTAGE_STRONG_ID_H

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace siskinstage {

/// A string identifier of one kind. \p Tag makes the kinds distinct types, so
/// that a service name can't be passed as an account name.
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
/// An IPv4 address and port, as "a.b.c.d:port".
using Address = StrongId<struct AddressTag>;

} // namespace siskinstage

template <typename Tag> struct std::hash<siskinstage::StrongId<Tag>> {
  std::size_t operator()(const siskinstage::StrongId<Tag> &Id) const noexcept {
    return std::hash<std::string>{}(Id.Value);
  }
};

#endif // SISKINSTAGE_STRONG_ID_H
