#ifndef SISKINSTAGE_NODE_MEMBERSHIP_VIEW_H
#define SISKINSTAGE_NODE_MEMBERSHIP_VIEW_H

#include "core/membership.h"
#include "core/steering.h"

#include <atomic>
#include <cstdint>
#include <vector>

namespace siskinstage {

/// What the gossip thread shows of the members.
struct MembershipView {
  std::vector<Member> Others;         ///< Known members without this node.
  std::vector<Member> Live;           ///< Live ones with this node.
  std::vector<SteeringNode> Watchers; ///< See selectWatchers.
  Membership::Stats Stats;
};

/// Traffic of the gossip thread since the start.
struct GossipTraffic {
  std::atomic<std::uint64_t> BytesSent{0};
  std::atomic<std::uint64_t> BytesReceived{0};
  std::atomic<std::uint64_t> Rejected{0};  ///< Forged, repeated or malformed.
  std::atomic<std::uint64_t> SyncBytes{0}; ///< Read from peers over TCP.
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_MEMBERSHIP_VIEW_H
