#ifndef SISKINSTAGE_NODE_FLEET_WATCHER_ROLE_H
#define SISKINSTAGE_NODE_FLEET_WATCHER_ROLE_H

#include "core/fleet/member.h"
#include "core/fleet/steering.h"

#include <optional>
#include <vector>

namespace siskinstage {

struct NodeContext;

/// The watchers among \p Live, the nodes that read the platform for the whole
/// fleet, in order of rank: first the highest-ranked of the nodes that can read
/// it and aren't suspected; then those of the highest-ranked of all nodes that
/// can't read it at present, which keep trying.
std::vector<SteeringNode> selectWatchers(const std::vector<Member> &Live);

/// Whether a watcher can't read the platform, or could not a moment ago:
/// entries of live targets may be missing there.
bool isOutageReported(const NodeContext &Context);

/// Whether this node has received gossip within config::GossipSilenceTimeout.
bool hearsOtherNodes(const NodeContext &Context);

/// This node's position among the watchers, from 0; also 0 for a node that
/// received no gossip for config::GossipSilenceTimeout, as no other node could
/// then send it changes. \returns nothing if this node is no watcher.
std::optional<std::size_t> watcherPosition(const NodeContext &Context);

/// This node's rank among the watchers: 0 reads the platform without a delay.
/// It is 0 for the first watcher, for all watchers of a small fleet, and for a
/// node that received no gossip for config::GossipSilenceTimeout, as no other
/// node could then send it changes.
/// \returns nothing if this node is no watcher.
std::optional<std::size_t> watcherRank(const NodeContext &Context);

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_FLEET_WATCHER_ROLE_H
