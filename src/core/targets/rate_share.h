#ifndef SISKINSTAGE_CORE_TARGETS_RATE_SHARE_H
#define SISKINSTAGE_CORE_TARGETS_RATE_SHARE_H

#include "core/fleet/steering.h"

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
  /// Position among all serving nodes, and their number; 0 of 0 if the node
  /// does not serve the service.
  std::uint32_t Rank = 0;
  std::uint32_t Nodes = 0;
  bool operator==(const RateShare &) const = default;
};

/// Whether the node at \p Endpoint is in charge of a target, see rateShare().
bool isInCharge(const Address &Endpoint, double PerSecond,
                const ServingGroup &Group, const TargetSpec &Target);

/// Divides the rate limit of a target among the nodes in charge of it: by
/// rendezvous hashing, one for every config::RatePerNodeInCharge requests per
/// second among the nodes of the target's failure domain, which use it most, or
/// among all nodes if its domain has none. The others have no share: with a
/// share for every node, all of them could send a request within the same
/// second, and the sum would exceed a low limit. The shares of all nodes
/// together are at most \p PerSecond, and the bursts at most
/// config::RateBurstSeconds of that and one for each node in charge.
/// \param Holder the node that has taken over the limit, since those in charge
///               did not use it; empty if none has. It gets a part of the
///               limit, so that the sum holds if the nodes do not agree on it.
RateShare rateShare(double PerSecond, const ServingGroup &Group,
                    const TargetSpec &Target, const Address &Holder = {});

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_TARGETS_RATE_SHARE_H
