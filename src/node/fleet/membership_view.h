#ifndef SISKINSTAGE_NODE_FLEET_MEMBERSHIP_VIEW_H
#define SISKINSTAGE_NODE_FLEET_MEMBERSHIP_VIEW_H

#include "core/fleet/membership.h"
#include "core/fleet/steering.h"

#include <atomic>
#include <cstdint>
#include <vector>

namespace siskinstage {

/// The members as the gossip thread last published them.
struct MembershipView {
  std::vector<Member> Others;         ///< All known members but this node.
  std::vector<Member> Live;           ///< Live members, this node first.
  std::vector<SteeringNode> Watchers; ///< See selectWatchers().
  Membership::Stats Stats;
};

/// Traffic of gossip and peer sync since the node started.
struct GossipTraffic {
  std::atomic<std::uint64_t> BytesSent{0};
  std::atomic<std::uint64_t> BytesReceived{0};
  /// Datagrams that were forged, replayed or malformed.
  std::atomic<std::uint64_t> Rejected{0};
  std::atomic<std::uint64_t> SyncBytes{0}; ///< Read from peers over TCP.
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_FLEET_MEMBERSHIP_VIEW_H
