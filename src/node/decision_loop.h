#ifndef SISKINSTAGE_NODE_DECISION_LOOP_H
#define SISKINSTAGE_NODE_DECISION_LOOP_H

#include "core/records/complete_lists.h"
#include "core/records/record_store.h"
#include "node/records/config_update.h"
#include "node/records/readiness_tracker.h"
#include "node/snapshot.h"
#include "node/targets/service_states.h"

#include <optional>
#include <vector>

namespace siskinstage {

struct NodeContext;

/// The decision thread. Only it writes the applied records and the health of
/// targets. It builds the snapshots that all other threads read.
class DecisionLoop {
public:
  explicit DecisionLoop(NodeContext &Context);
  // Its parts refer to NextSnapshot.
  DecisionLoop(const DecisionLoop &) = delete;
  DecisionLoop &operator=(const DecisionLoop &) = delete;

  /// Runs until Context.Stop is set.
  void run();

private:
  NodeContext &Context;
  /// Other nodes that the instance list has as live.
  std::size_t ListedNodes = 0;
  Snapshot NextSnapshot;
  bool SnapshotChanged = false;
  ServiceStates Services;
  ReadinessTracker Readiness;
  CompleteLists Lists; ///< Of the platform.

  /// Longest time to wait for a wakeup: short while a service needs evaluation
  /// or the node is not ready.
  [[nodiscard]] Duration waitLimit() const;
  void processObservations();
  void processUpdates();
  void apply(RecordBatch &Batch);
  void apply(InstanceBatch &Batch);
  void apply(MemberBatch &Batch);
  void apply(ReceivedReport &Received);
  /// Applies a complete list of the platform: what it lacks was deleted.
  void applyList(const RecordList &List);
  /// Applies \p New if it is newer than the record in force.
  void adopt(const Record &New, const RecordOrigin &From);
  /// Logs a new epoch of the platform's history.
  /// \param Before the highest position before \p New was adopted.
  void followEpoch(const Revision &Before, const Record &New,
                   const RecordOrigin &From);
  /// The tombstone to apply in place of a record of another node, if the
  /// platform has deleted that record.
  [[nodiscard]] std::optional<Record> findDeletion(const Record &New) const;
  void applyRecord(const Record &New);
  void applyBundle(const BundleRecord &New);
  /// Undoes the effects of the replaced version of a record.
  void removeRecord(const Record &Old);
  void broadcastRecord(const Record &New, const RecordOrigin &From);
  [[nodiscard]] const RecordStore &records() const;
  /// Logs a change of the entry nodes of this node's failure domain.
  void logEntryChange(const std::vector<SteeringNode> &New) const;
  /// Tells the quotas which nodes share them.
  void configureQuotas();
  void publish();
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_DECISION_LOOP_H
