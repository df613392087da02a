#ifndef SISKINSTAGE_NODE_RECORDS_PEER_SYNC_H
#define SISKINSTAGE_NODE_RECORDS_PEER_SYNC_H

#include "node/fleet/gossip_command.h"
#include "siskinstage/error.h"

namespace siskinstage {

struct NodeContext;

/// The sync thread. It reads data from other nodes that differs according to
/// gossip: buckets of records, one announced record, or the table of members.
class PeerSync {
public:
  explicit PeerSync(NodeContext &Context) : Context(Context) {}

  /// Runs tasks until Context.Stop is set.
  void run();

private:
  NodeContext &Context;

  /// Runs a task and logs its error.
  void tryTask(const SyncTask &Task);
  Result<void> runTask(const SyncTask &Task);
  Result<void> readRecords(const SyncTask &Task);
  /// Waits until the records that were read before are applied, so that they
  /// are not read again.
  void awaitRecordsApplied() const;
  /// Whether the peer has a record of the bucket in a higher revision.
  [[nodiscard]] bool isBucketNewer(const SyncTask &Task, unsigned Number) const;
  Result<void> readOneRecord(const SyncTask &Task);
  /// Reads records from \p Target, a path at the peer, and posts the valid ones
  /// to the decision thread.
  Result<void> readRecordTexts(const SyncTask &Task, const std::string &Target);
  Result<void> readMembers(const SyncTask &Task);
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_RECORDS_PEER_SYNC_H
