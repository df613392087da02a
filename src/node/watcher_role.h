#ifndef SISKINSTAGE_NODE_WATCHER_ROLE_H
#define SISKINSTAGE_NODE_WATCHER_ROLE_H

#include "core/member.h"
#include "core/steering.h"

#include <optional>
#include <vector>

namespace siskinstage {

struct NodeContext;

/// The nodes of \p Live that read the platform for the whole fleet, in the
/// order of their delay: the highest-ranked nodes that can read it and aren't
/// suspected, and those of the highest-ranked nodes altogether that can't read
/// it at present and keep trying.
std::vector<SteeringNode> selectWatchers(const std::vector<Member> &Live);

/// This node's rank among the watchers, 0 for the first. Also 0 if no gossip
/// was received for config::GossipSilence, as no other node could then send it
/// changes. \returns nothing if this node is no watcher.
std::optional<std::size_t> watcherRank(const NodeContext &Context);

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_WATCHER_ROLE_H
