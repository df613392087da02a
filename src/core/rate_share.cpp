#include "core/rate_share.h"
#include "siskinstage/config.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace siskinstage {

namespace {

/// The nodes of \p Group in the failure domain of \p Target, or all of them if
/// none is.
std::vector<const SteeringNode *> nearestNodes(const ServingGroup &Group,
                                               const TargetSpec &Target) {
  std::vector<const SteeringNode *> Near;
  std::vector<const SteeringNode *> All;
  for (const SteeringNode &Node : Group.Nodes) {
    All.push_back(&Node);
    if (Node.Domain == Target.Domain)
      Near.push_back(&Node);
  }
  return Near.empty() ? All : Near;
}

/// Weight of a node for being in charge of a target; the highest ones are.
std::pair<std::uint64_t, Address> weightOf(const SteeringNode &Node,
                                           const TargetSpec &Target) {
  return {rendezvousWeight(Target.Id.str(), Node.Id.str()), Node.Endpoint};
}

} // namespace

RateShare rateShare(double PerSecond, const ServingGroup &Group,
                    const TargetSpec &Target) {
  const auto Nodes = nearestNodes(Group, Target);
  const auto Own =
      std::find_if(Nodes.begin(), Nodes.end(), [&](const SteeringNode *Node) {
        return Node->Endpoint == Group.Self;
      });
  if (Own == Nodes.end())
    return {};
  const auto OwnWeight = weightOf(**Own, Target);
  const auto Rank =
      std::count_if(Nodes.begin(), Nodes.end(), [&](const SteeringNode *Node) {
        return weightOf(*Node, Target) > OwnWeight;
      });
  const double InCharge =
      std::clamp(std::ceil(PerSecond / config::RatePerNodeInCharge), 1.0,
                 static_cast<double>(Nodes.size()));
  if (static_cast<double>(Rank) >= InCharge)
    return {};
  const double Share = PerSecond / InCharge;
  return {Share, 1 + Share * config::RateBurstSeconds};
}

} // namespace siskinstage
