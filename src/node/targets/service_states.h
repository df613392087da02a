#ifndef SISKINSTAGE_NODE_TARGETS_SERVICE_STATES_H
#define SISKINSTAGE_NODE_TARGETS_SERVICE_STATES_H

#include "core/requests/retry_share.h"
#include "core/requests/wait_queue.h"
#include "core/targets/service_health.h"
#include "node/snapshot.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace siskinstage {

struct NodeContext;
struct ReceivedReport;

/// The services with the health of their targets. Writes the services' views in
/// the next snapshot. Only for the decision thread.
class ServiceStates {
public:
  /// \param Next the snapshot that is published next; its nodes and fleet
  ///             record are read here, and its services are written.
  ServiceStates(NodeContext &Context, Snapshot &Next);

  void observe(const Observation &Sample);
  void report(const ReceivedReport &Received);
  void setService(const ServiceRecord &New);
  void removeService(const ServiceName &Name);
  /// Names of all configured services.
  [[nodiscard]] std::vector<ServiceName> names() const;
  /// A change of a target takes effect with the next assembleStale().
  void setTarget(const TargetRecord &New);
  void removeTarget(const TargetRecord &Old);
  void assembleStale();
  /// Closes connections to targets that have been idle for too long, every
  /// config::TargetSweepPeriod.
  void expireConnections(Instant Now);
  /// \param Leaving targets that the instance list reports as leaving.
  void setLeaving(std::set<Address> Leaving);
  /// Applies a change of the live nodes and entry nodes of the snapshot.
  void updateServingNodes();
  /// Gives each gate its share of the fleet's retry budget, and the order in
  /// which waiting requests are served.
  void configureGates();
  /// Evaluates the targets. \returns whether the snapshot has changed.
  bool decideAll(Instant Now);
  [[nodiscard]] bool needsEvaluation() const;

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
    /// The same: whether this node is the deputy of the one that sends them.
    std::vector<bool> IsTrialDeputy;
    std::vector<TargetVerdict> Verdicts;
    std::shared_ptr<ServiceGate> Gate;
    /// Latency in the last published snapshot.
    UsualLatency PublishedLatency;
    /// Verdicts may change with new observations or as time passes.
    bool NeedsEvaluation = true;
  };

  NodeContext &Context;
  Snapshot &NextSnapshot;
  std::unordered_map<ServiceName, ServiceState> Services;
  /// Service records, from records of their own or from the bundle.
  std::unordered_map<ServiceName, ServiceRecord> ServiceRecords;
  /// Targets that have records of their own.
  std::map<ServiceName, std::map<TargetId, TargetSpec>> TargetSpecs;
  /// By id, address and incarnation of a target, see getGauge().
  std::unordered_map<std::string, std::shared_ptr<TargetGauge>> Gauges;
  std::set<Address> LeavingTargets;
  /// Services whose TargetSpecs changed since the last assembleService().
  std::set<ServiceName> StaleServices;
  /// Targets whose records were replaced or deleted since then.
  std::vector<TargetRecord> ReplacedTargets;
  Instant NextExpiry; ///< See expireConnections().

  /// Adds the targets that have records of their own to the service's record.
  void assembleService(const ServiceName &Name);
  /// This node's share of the fleet's retry budget.
  [[nodiscard]] RetryShare nodeRetryShare() const;
  /// By worth where the configuration has accounts with API keys or priorities
  /// that differ.
  [[nodiscard]] WaitQueue::OrderKind waitOrder() const;
  [[nodiscard]] std::vector<SteeringNode>
  servingNodes(const ServiceName &Name) const;
  void setServingNodes(ServiceState &Service,
                       std::vector<SteeringNode> Serving) const;
  /// \returns whether the service's view has changed.
  bool decide(const ServiceName &Name, ServiceState &Service, Instant Now);
  /// Adds an observation for each target that announced in a response that it
  /// leaves.
  void observeAnnouncedLeaving(const ServiceRecord &Record,
                               ServiceState &Service, Instant Now);
  void logTargetChanges(const ServiceName &Name,
                        const std::vector<TargetVerdict> &Old,
                        const std::vector<TargetVerdict> &New);
  void countEjection(const ServiceName &Name, const TargetVerdict &Verdict);
  void rebuildServiceView(const ServiceName &Name, const ServiceState &Service);
  std::shared_ptr<TargetGauge> getGauge(const TargetSpec &Spec);
  /// Closes the idle connections to \p Old if it is gone.
  void retireIfGone(const TargetRecord &Old);
  [[nodiscard]] const ServiceRecord *
  findServiceRecord(const ServiceName &Name) const;
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_TARGETS_SERVICE_STATES_H
