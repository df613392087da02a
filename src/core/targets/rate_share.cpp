#include "core/targets/rate_share.h"
#include "siskinstage/config.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <tuple>

namespace siskinstage {

namespace {

/// Order of the serving nodes for being in charge of a target, highest first.
std::tuple<bool, std::uint64_t, const Address &>
precedence(const SteeringNode &Node, const TargetSpec &Target) {
  return {Node.Domain == Target.Domain,
          rendezvousWeight(Target.Id.str(), Node.Id.str()), Node.Endpoint};
}

/// Position of the node at \p Endpoint in that order; nothing if it does not
/// serve.
std::optional<std::size_t> rankOf(const Address &Endpoint,
                                  const ServingGroup &Group,
                                  const TargetSpec &Target) {
  const auto Found = std::find_if(
      Group.Nodes.begin(), Group.Nodes.end(),
      [&](const SteeringNode &Node) { return Node.Endpoint == Endpoint; });
  if (Found == Group.Nodes.end())
    return std::nullopt;
  const auto Own = precedence(*Found, Target);
  return static_cast<std::size_t>(std::count_if(
      Group.Nodes.begin(), Group.Nodes.end(), [&](const SteeringNode &Node) {
        return precedence(Node, Target) > Own;
      }));
}

/// Number of nodes in charge, the first ones in that order.
std::size_t countInCharge(double PerSecond, const ServingGroup &Group,
                          const TargetSpec &Target) {
  const auto Near = static_cast<std::size_t>(std::count_if(
      Group.Nodes.begin(), Group.Nodes.end(),
      [&](const SteeringNode &Node) { return Node.Domain == Target.Domain; }));
  const double Most = static_cast<double>(Near > 0 ? Near : Group.Nodes.size());
  return static_cast<std::size_t>(std::clamp(
      std::ceil(PerSecond / config::RatePerNodeInCharge), 1.0, Most));
}

} // namespace

bool isInCharge(const Address &Endpoint, double PerSecond,
                const ServingGroup &Group, const TargetSpec &Target) {
  const auto Rank = rankOf(Endpoint, Group, Target);
  return Rank && *Rank < countInCharge(PerSecond, Group, Target);
}

RateShare rateShare(double PerSecond, const ServingGroup &Group,
                    const TargetSpec &Target, const Address &Holder) {
  const auto Rank = rankOf(Group.Self, Group, Target);
  if (!Rank)
    return {};
  RateShare Share;
  Share.Rank = static_cast<std::uint32_t>(*Rank);
  Share.Nodes = static_cast<std::uint32_t>(Group.Nodes.size());
  const std::size_t InCharge = countInCharge(PerSecond, Group, Target);
  const auto HolderRank = rankOf(Holder, Group, Target);
  const bool Held = HolderRank && *HolderRank >= InCharge;
  if (Held ? *HolderRank != *Rank : *Rank >= InCharge)
    return Share;
  Share.PerSecond = Held ? PerSecond * config::RateHolderFraction
                         : PerSecond / static_cast<double>(InCharge);
  Share.Burst = 1 + Share.PerSecond * config::RateBurstSeconds;
  return Share;
}

} // namespace siskinstage
