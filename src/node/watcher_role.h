#ifndef SISKINSTAGE_NODE_WATCHER_ROLE_H
#define SISKINSTAGE_NODE_WATCHER_ROLE_H

#include "core/member.h"
#include "core/steering.h"

#include <optional>
#include <vector>

namespace siskinstage {

struct NodeContext;

/// The nodes of \p Live that read the platform for all, the first of them
/// soonest: those of the highest rank that can read it and are no suspects,
/// beside those of the highest rank altogether, who go on trying.
std::vector<SteeringNode> selectWatchers(const std::vector<Member> &Live);

/// This node's place among the nodes that read the platform for all, 0 for the
/// first. Also 0 if no other node has been heard of late, so that nobody could
/// pass changes on to it. \returns nothing if it is none of them.
std::optional<std::size_t> watcherRank(const NodeContext &Context);

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_WATCHER_ROLE_H
