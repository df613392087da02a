#ifndef SISKINSTAGE_CORE_RATE_SHARE_H
#define SISKINSTAGE_CORE_RATE_SHARE_H

#include "core/steering.h"

#include <vector>

namespace siskinstage {

/// The nodes that serve a service, as one of them or another node sees them.
struct ServingGroup {
  std::vector<SteeringNode> Nodes;
  Address Self; ///< The node that has this view.
};

/// One node's share of the rate limit of a target.
struct RateShare {
  double PerSecond = 0; ///< Requests per second; 0 for none at all.
  double Burst = 0;     ///< Maximum number of unused requests, at least one.
  bool operator==(const RateShare &) const = default;
};

/// Divides the rate limit of a target among the nodes in charge of it: by
/// rendezvous hashing, one for every config::RatePerNodeInCharge requests per
/// second among the nodes of the target's failure domain, which use it most, or
/// among all nodes if its domain has none. The others have no share: with a
/// share for every node, all of them could send a request within the same
/// second, and the sum would exceed a low limit. The shares of all nodes
/// together are at most \p PerSecond, and the bursts at most half of that and
/// one for each node in charge.
RateShare rateShare(double PerSecond, const ServingGroup &Group,
                    const TargetSpec &Target);

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_RATE_SHARE_H
