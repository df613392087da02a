#ifndef SISKINSTAGE_NODE_NODE_CONTEXT_H
#define SISKINSTAGE_NODE_NODE_CONTEXT_H

#include "core/bounded_ring.h"
#include "core/targets/observation.h"
#include "net/timer_queue.h"
#include "node/callers/connection_counts.h"
#include "node/drain_state.h"
#include "node/fleet/gossip_command.h"
#include "node/fleet/membership_view.h"
#include "node/fleet/response_cache.h"
#include "node/fleet/shared_confirmed_view.h"
#include "node/operators/metrics.h"
#include "node/pipe_wakeup.h"
#include "node/records/config_update.h"
#include "node/records/shared_history_start.h"
#include "node/records/shared_records.h"
#include "node/records/sync_queue.h"
#include "node/requests/account_gate.h"
#include "node/requests/key_owner.h"
#include "node/requests/open_requests.h"
#include "node/requests/quarantine_gate.h"
#include "node/requests/quota_gate.h"
#include "node/settings.h"
#include "node/snapshot_holder.h"
#include "node/stop_flag.h"
#include "node/wakeup.h"

#include <atomic>
#include <memory>

namespace siskinstage {

/// State that the threads of one node share.
struct NodeContext {
  NodeContext(const Settings &Values, const AddressParts &Own,
              Incarnation Process, std::shared_ptr<const Snapshot> First);

  Settings NodeSettings;
  Metrics NodeMetrics;
  SnapshotHolder Snapshots;
  KeyOwner Keys;
  AccountGate AccountLimits;
  QuotaGate Quotas;
  QuarantineGate RequestQuarantine;
  /// From handlers and the probe thread to the decision thread.
  BoundedRing<Observation> Observations;
  /// From the platform, gossip and sync threads to the decision thread.
  BoundedRing<ConfigUpdate> Updates;
  /// From all other threads to the gossip thread.
  BoundedRing<GossipCommand> GossipCommands;
  /// From the gossip thread to the sync thread.
  SyncQueue SyncTasks;
  Wakeup DecisionWakeup;
  Wakeup SyncWakeup;
  PipeWakeup GossipWakeup;
  SharedRecords Records;
  ResponseCache PeerResponses;
  SharedHistoryStart PlatformHistory;
  std::atomic<std::shared_ptr<const MembershipView>> Members;
  GossipTraffic Traffic;
  SharedConfirmedView ConfigView;
  std::atomic<std::uint64_t> GroupEjections{0};
  /// When the last valid gossip message of another node was received, in ticks
  /// of the boot clock.
  std::atomic<Duration::rep> LastGossip{0};
  StopFlag Stop;
  /// Wakes requests that wait; run by the threads for callers.
  std::unique_ptr<TimerQueue> Timers;
  DrainState Drain; ///< Active once SIGTERM was received.
  ConnectionCounts CallerConnections;
  ConnectionCounts ControlConnections;
  OpenRequests Requests;
  std::atomic<std::uint64_t> NextRequest{1};

  /// Whether callers' requests are accepted.
  [[nodiscard]] bool ready() const;
  /// Whether this node names itself to callers that ask for entries.
  [[nodiscard]] bool namesItself() const {
    return !this->Drain.active() && !this->ConfigView.withdrawn();
  }
  /// Creates an id that is unique in the fleet.
  RequestId newRequestId();
  /// Passes an observation to the decision thread; if the ring is full, it is
  /// dropped and counted.
  void postObservation(Observation Sample);
  /// Passes \p Update to the decision thread. \returns false if the ring was
  /// full and the update was dropped.
  bool tryPostUpdate(ConfigUpdate Update);
  /// Passes \p Command to the gossip thread; it is dropped if the ring is full.
  void postCommand(GossipCommand Command);
  /// The same. \returns false if the ring was full and it was dropped.
  bool tryPostCommand(GossipCommand Command);
  /// Passes \p Task to the sync thread; it is dropped if the queue is full.
  void postSyncTask(SyncTask Task);
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_NODE_CONTEXT_H
