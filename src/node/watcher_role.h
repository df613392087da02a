#ifndef SISKINSTAGE_NODE_WATCHER_ROLE_H
#define SISKINSTAGE_NODE_WATCHER_ROLE_H

namespace siskinstage {

struct NodeContext;

/// Whether this node reads the platform for others: it is one of its failure
/// domain's few watchers, or no other node has been heard of late, so that
/// nobody could pass changes on to it.
bool watchesPlatform(const NodeContext &Context);

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_WATCHER_ROLE_H
