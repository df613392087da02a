#ifndef SISKINSTAGE_NODE_PEER_SYNC_H
#define SISKINSTAGE_NODE_PEER_SYNC_H

#include "node/gossip_command.h"
#include "siskinstage/error.h"

namespace siskinstage {

struct NodeContext;

/// Reads from other nodes what gossip showed to differ: records by buckets, one
/// announced record, or the table of members.
class PeerSync {
public:
  explicit PeerSync(NodeContext &Context) : Context(Context) {}

  /// Works off tasks until the node stops.
  void run();

private:
  NodeContext &Context;

  void tryTask(const SyncTask &Task);
  Result<void> runTask(const SyncTask &Task);
  Result<void> readRecords(const SyncTask &Task);
  Result<void> readOneRecord(const SyncTask &Task);
  /// Reads records as texts and passes the good ones on.
  Result<void> readTexts(const SyncTask &Task, const std::string &Target);
  Result<void> readMembers(const SyncTask &Task);
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_PEER_SYNC_H
