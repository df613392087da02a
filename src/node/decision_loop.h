#ifndef SISKINSTAGE_NODE_DECISION_LOOP_H
#define SISKINSTAGE_NODE_DECISION_LOOP_H

#include "core/record_store.h"
#include "core/retry_share.h"
#include "core/service_health.h"
#include "node/config_update.h"
#include "node/snapshot.h"

#include <map>
#include <set>
#include <unordered_map>

namespace siskinstage {

struct NodeContext;

/// The decision thread's work: the only writer of records in force and health,
/// and the maker of snapshots.
class DecisionLoop {
public:
  explicit DecisionLoop(NodeContext &Context);

  /// Runs until the node stops.
  void run();

private:
  /// Health and shared objects of one service.
  struct Held {
    Held(const FailureDomain &Own, Detector How) : Health(Own, How) {}

    ServiceHealth Health;
    ServiceRecord Record; ///< With the targets that have their own records.
    /// The nodes that serve it.
    std::vector<SteeringNode> Serving;
    /// The others of them.
    std::shared_ptr<const std::vector<Address>> Group;
    /// Targets that this node tries when they are idle, in the record's order.
    std::vector<bool> InCharge;
    std::vector<TargetVerdict> Verdicts;
    std::shared_ptr<ServiceGate> Gate;
    UsualLatency Usual;
    bool Unsettled = true; ///< Must be decided again as time passes.
  };

  NodeContext &Context;
  Instant Started;
  std::unordered_map<ServiceName, Held> Services;
  /// Services as their records or a bundle describe them.
  std::unordered_map<ServiceName, ServiceRecord> Described;
  /// Targets that have records of their own, by service.
  std::map<ServiceName, std::map<TargetId, TargetSpec>> Listed;
  std::unordered_map<std::string, std::shared_ptr<TargetGauge>> Gauges;
  std::set<Address> ListedLeaving;
  std::set<FailureDomain> ListedDomains; ///< Of other live nodes.
  std::set<FailureDomain> ComparedDomains;
  bool ListRead = false;
  bool PlatformRead = false;
  bool PlatformCurrent = false; ///< What was read could not be stale.
  /// Services whose listed targets have changed since the last refresh.
  std::set<ServiceName> Stale;
  Snapshot Next;
  bool Changed = false;

  /// How long to wait for news: less while something changes with time.
  [[nodiscard]] Duration pause() const;
  void takeObservations();
  void takeUpdates();
  void apply(RecordBatch &Batch);
  void apply(InstanceBatch &Batch);
  void apply(MemberBatch &Batch);
  void apply(ReceivedReport &Arrival);
  void adopt(const Record &New);
  void adoptService(const ServiceRecord &New);
  void adoptTarget(const TargetRecord &New);
  void adoptBundle(const BundleRecord &New);
  void dropService(const ServiceName &Name);
  /// Puts the description and the listed targets of a service together.
  void refreshService(const ServiceName &Name);
  /// Takes out what the old version of a record put in.
  void withdraw(const Record &Old);
  void announce(const Record &New, const FailureDomain &From);
  /// Whether enough has been compared to answer callers.
  void checkReady(Instant Now);
  void noteEjection(const ServiceName &Name, const TargetVerdict &Verdict);
  [[nodiscard]] const RecordStore &records() const;
  /// Says that the entries of this node's failure domain have changed.
  void logEntries(const std::vector<SteeringNode> &New) const;
  /// What this node may spend of the fleet's retries.
  [[nodiscard]] RetryShare retries() const;
  void configureGates();
  [[nodiscard]] std::vector<SteeringNode>
  servingNodes(const ServiceName &Name) const;
  void setServing(Held &Service, std::vector<SteeringNode> Serving) const;
  void decideAll(Instant Now);
  void decide(const ServiceName &Name, Held &Service, Instant Now);
  void noteSaidLeaving(const ServiceRecord &Record, Held &Service, Instant Now);
  void logChanges(const ServiceName &Name,
                  const std::vector<TargetVerdict> &Old,
                  const std::vector<TargetVerdict> &New);
  void rebuildService(const ServiceName &Name, const Held &Service);
  std::shared_ptr<TargetGauge> gaugeOf(const TargetSpec &Spec);
  [[nodiscard]] const ServiceRecord *record(const ServiceName &Name) const;
  void publish();
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_DECISION_LOOP_H
