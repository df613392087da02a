#ifndef SISKINSTAGE_NODE_DECISION_LOOP_H
#define SISKINSTAGE_NODE_DECISION_LOOP_H

#include "core/records/readiness.h"
#include "core/records/record_store.h"
#include "core/requests/retry_share.h"
#include "core/requests/wait_queue.h"
#include "core/targets/service_health.h"
#include "node/records/config_update.h"
#include "node/snapshot.h"

#include <map>
#include <set>
#include <unordered_map>

namespace siskinstage {

struct NodeContext;

/// The decision thread. Only it writes the applied records and the health of
/// targets. It builds the snapshots that all other threads read.
class DecisionLoop {
public:
  explicit DecisionLoop(NodeContext &Context);

  /// Runs until Context.Stop is set.
  void run();

private:
  /// State of one service.
  struct ServiceState {
    ServiceState(const FailureDomain &Own, Detector Mode) : Health(Own, Mode) {}

    ServiceHealth Health;
    /// Includes the targets that have records of their own.
    ServiceRecord Record;
    /// Nodes that serve the service, including this one if it does.
    std::shared_ptr<const ServingGroup> Group;
    /// Fleet addresses of the other serving nodes.
    std::shared_ptr<const std::vector<Address>> PeerNodes;
    /// By index in Record.Targets: whether this node sends trial requests to
    /// the target while it is idle.
    std::vector<bool> SendsTrialRequests;
    std::vector<TargetVerdict> Verdicts;
    std::shared_ptr<ServiceGate> Gate;
    /// Latency in the last published snapshot.
    UsualLatency PublishedLatency;
    /// Verdicts may change with new observations or as time passes.
    bool NeedsEvaluation = true;
  };

  NodeContext &Context;
  Instant Started;
  std::unordered_map<ServiceName, ServiceState> Services;
  /// Service records, from records of their own or from the bundle.
  std::unordered_map<ServiceName, ServiceRecord> ServiceRecords;
  /// Targets that have records of their own.
  std::map<ServiceName, std::map<TargetId, TargetSpec>> TargetSpecs;
  /// By id, address and incarnation of a target, see getGauge().
  std::unordered_map<std::string, std::shared_ptr<TargetGauge>> Gauges;
  /// Targets that the instance list reports as leaving.
  std::set<Address> LeavingTargets;
  /// Failure domains of the other live nodes in the instance list.
  std::set<FailureDomain> ListedNodeDomains;
  /// Failure domains with a node whose records have been compared with those of
  /// this node.
  std::set<FailureDomain> ComparedDomains;
  bool InstanceListRead = false;
  bool PlatformRead = false;
  /// A complete read of the platform was known not to be stale.
  bool PlatformCurrent = false;
  /// Services whose TargetSpecs changed since the last assembleService().
  std::set<ServiceName> StaleServices;
  Snapshot NextSnapshot;
  bool SnapshotChanged = false;

  /// Longest time to wait for a wakeup: short while a service needs evaluation
  /// or the node is not ready.
  [[nodiscard]] Duration waitLimit() const;
  void processObservations();
  void processUpdates();
  void apply(RecordBatch &Batch);
  void apply(InstanceBatch &Batch);
  void apply(MemberBatch &Batch);
  void apply(ReceivedReport &Received);
  void applyRecord(const Record &New);
  void applyService(const ServiceRecord &New);
  void applyTarget(const TargetRecord &New);
  void applyBundle(const BundleRecord &New);
  void removeService(const ServiceName &Name);
  /// Adds the targets that have records of their own to the service's record.
  void assembleService(const ServiceName &Name);
  /// Undoes the effects of the replaced version of a record.
  void removeRecord(const Record &Old);
  /// \param From domain of the node that sent the record; empty if it came
  ///        from the platform.
  void broadcastRecord(const Record &New, const FailureDomain &From);
  [[nodiscard]] ReadinessFacts readinessFacts(Instant Now) const;
  /// Marks the snapshot as configured, so that callers are served, once enough
  /// has been read from the platform or compared with peers.
  void updateReadiness(Instant Now);
  void countEjection(const ServiceName &Name, const TargetVerdict &Verdict);
  [[nodiscard]] const RecordStore &records() const;
  /// Logs a change of the entry nodes of this node's failure domain.
  void logEntryChange(const std::vector<SteeringNode> &New) const;
  /// This node's share of the fleet's retry budget.
  [[nodiscard]] RetryShare nodeRetryShare() const;
  /// In which order waiting requests are served: by worth where the
  /// configuration has accounts with API keys or priorities that differ.
  [[nodiscard]] WaitQueue::OrderKind waitOrder() const;
  void configureGates();
  [[nodiscard]] std::vector<SteeringNode>
  servingNodes(const ServiceName &Name) const;
  void setServingNodes(ServiceState &Service,
                       std::vector<SteeringNode> Serving) const;
  void decideAll(Instant Now);
  void decide(const ServiceName &Name, ServiceState &Service, Instant Now);
  /// Adds an observation for each target that announced in a response that it
  /// leaves.
  void observeAnnouncedLeaving(const ServiceRecord &Record,
                               ServiceState &Service, Instant Now);
  void logTargetChanges(const ServiceName &Name,
                        const std::vector<TargetVerdict> &Old,
                        const std::vector<TargetVerdict> &New);
  void rebuildServiceView(const ServiceName &Name, const ServiceState &Service);
  std::shared_ptr<TargetGauge> getGauge(const TargetSpec &Spec);
  [[nodiscard]] const ServiceRecord *
  findServiceRecord(const ServiceName &Name) const;
  void publish();
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_DECISION_LOOP_H
