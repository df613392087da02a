#ifndef SISKINSTAGE_NODE_TARGETS_SERVICE_GATE_H
#define SISKINSTAGE_NODE_TARGETS_SERVICE_GATE_H

#include "core/requests/retry_budget.h"
#include "core/requests/retry_share.h"
#include "core/requests/wait_queue.h"
#include "core/requests/work_estimate.h"
#include "core/targets/observation.h"
#include "core/targets/pick.h"
#include "core/targets/target_choice.h"
#include "core/targets/target_notices.h"
#include "core/targets/target_room.h"
#include "core/targets/unserved_fraction.h"
#include "node/targets/slot_wait.h"
#include "siskinstage/units.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

namespace siskinstage {

struct TargetGauge;

/// Admission of requests to one service: chooses the target, counts its slots,
/// queues requests while no slot is free, and holds the retry budget. It also
/// guards the gray-failure estimates of the targets. Thread-safe.
class ServiceGate : public std::enable_shared_from_this<ServiceGate> {
public:
  using Refusal = GateRejection::Refusal;
  using Rejection = GateRejection;
  using AcquireResult = std::variant<TargetLease, Rejection, SlotWait>;

  /// Which free slot is of use to a request whose attempt is overdue.
  enum class RetrySlot { ProbablyHealthy, Any };

  struct Stats {
    std::uint32_t Waiting = 0; ///< Requests in the queue.
    double RetriesLeft = 0;    ///< Retries in the budget.
    bool ByWorth = false;      ///< The order, see WorthOrder.
  };

  /// Change of the probability that a target is in a gray-failure episode.
  struct EstimateChange {
    double Before = 0;
    double After = 0;
    bool Broadcast = false; ///< The other nodes must be notified.
    ServiceLoad Load;       ///< Of this node, told along with it.
  };

  /// Counts of the targets that may receive requests.
  struct Coverage {
    std::uint32_t Admitted = 0;
    std::uint32_t Suspected = 0; ///< Suspected of a gray failure.
    std::uint32_t Idle = 0;    ///< Without a request for config::IdleThreshold.
    std::uint32_t Limited = 0; ///< With a rate limit.
    std::uint32_t LeftAlone = 0; ///< That want no request for a time.
  };

  /// What a target states, as this node knows it.
  struct NoticesView {
    RateLimitState RateLimit;
    RateShare Share;    ///< Of this node, of the rate limit.
    Duration Age{};     ///< Time since the rate limit was last heard of.
    Duration BackOff{}; ///< Remaining time to be left alone.
  };

  ServiceGate(ServiceName Name, std::uint64_t Seed);

  /// Acquires a slot at an admitted target that was not tried. If none is free,
  /// the request waits for one until the deadline, at most
  /// config::MaxQueueWait. Does not block.
  /// \param Wake called when a wait has ended; must not block. It may be called
  ///        before this returns.
  AcquireResult acquire(const SnapshotHolder &Snapshots,
                        const PlacementParams &Params,
                        std::function<void()> Wake, Instant Now);
  /// Ends the waits that are due, and looks for slots: a new verdict can free
  /// one without a release. Called every config::QueuePollPeriod while requests
  /// wait.
  void poll(Instant Now);
  /// Called by TargetLease when its slot is free again.
  /// \param Placed when the request that held the slot was placed.
  void release(TargetGauge &Gauge, Instant Placed);
  /// Called by SlotWait::take().
  std::optional<SlotWait::Result> takeDecision(SlotWait::Entry &Waiting);
  /// Called by SlotWait when the request no longer waits.
  void withdraw(const SlotWait::Entry &Waiting);

  /// Updates the estimate of a target with the evidence of a request.
  /// \param At see GrayEstimate::update().
  EstimateChange addEvidence(TargetGauge &Gauge, Evidence Kind, Instant At);
  /// Replaces the estimate of a target by that of another node, and what is
  /// known of that node's load.
  void adopt(TargetGauge &Gauge, double GrayProbability, const Address &From,
             const ServiceLoad &Load);
  [[nodiscard]] double grayProbability(const TargetGauge &Gauge);
  /// Time since this node last placed a request at a target.
  [[nodiscard]] Duration idleTime(const TargetGauge &Gauge);
  [[nodiscard]] Coverage coverage(const ServiceView &View);

  /// Adds what a response of a target states, see TargetNotices::hear().
  TargetNotices::Effect hearNotices(const ServiceView &View,
                                    const TargetView &Target,
                                    const StatedNotices &Stated, Instant Sent,
                                    bool NotRun);
  /// Adds what another node has told. \returns whether the limit changed.
  bool adoptRateLimit(const ServiceView &View, const TargetView &Target,
                      const RateLimitState &State, const Address &From);
  /// Takes a probe from what a target allows. \returns false if it allows none
  /// now.
  [[nodiscard]] bool takeProbe(const ServiceView &View,
                               const TargetView &Target);
  [[nodiscard]] NoticesView notices(const ServiceView &View,
                                    const TargetView &Target);

  /// Acquires a free slot at a target that was not tried, and takes one retry
  /// from the budget, for a request whose attempt goes on if there is none.
  /// Requests that wait are served first.
  std::optional<TargetLease> tryAcquireRetry(const SnapshotHolder &Snapshots,
                                             const PlacementParams &Params,
                                             RetrySlot Wanted, Instant Now);

  /// Counts a request, and adds a fraction of a retry to the budget.
  void addFirstAttempt();
  /// Counts a request that is not served.
  void addUnserved();
  /// Takes back one that was counted and served in the end.
  void takeBackUnserved();
  /// Takes one retry from the budget. \returns false if there is none.
  [[nodiscard]] bool takeRetry();
  void configure(RoutingPolicy Policy, const RetryShare &Retries);
  /// In which order waiting requests are served.
  void setOrder(WaitQueue::OrderKind Order);
  /// A request of \p Route took this long at a target.
  void observeWork(const RouteName &Route, Duration Took,
                   std::uint64_t BodyBytes);
  [[nodiscard]] Stats stats();

private:
  /// The state of one search for slots. Collects the calls to make without the
  /// lock.
  struct Search {
    std::shared_ptr<const ServiceView> View; ///< Null if not configured.
    Instant Now;
    std::vector<std::function<void()>> Wakeups;
  };
  /// The result for one request.
  struct Attempt {
    std::optional<TargetLease> Lease;
    std::optional<Rejection> Refused; ///< It must not wait any longer.
    Shortage Reason;                  ///< Valid without a lease.
  };

  ServiceName Name;
  std::mutex Lock;
  RoutingPolicy SelectionName = RoutingPolicy::TwoChoices;
  Policy Selection;
  Random Rng;
  RetryBudget Budget;
  UnservedFraction Unserved;
  bool Configured = false;
  /// Decides on admission and order of the requests that wait for a slot.
  WaitQueue Queue;
  std::unordered_map<std::uint64_t, std::shared_ptr<SlotWait::Entry>> Waiting;
  std::uint64_t NextWait = 1;
  WaitQueue::OrderKind Order = WaitQueue::OrderKind::Arrival;
  /// Routes of the configuration only, so that their number is bounded.
  std::unordered_map<RouteName, WorkEstimate> Work;

  /// Estimated time of the request at a target.
  [[nodiscard]] Duration expectedWork(const ServiceView &View,
                                      const PlacementParams &Params,
                                      Instant Now) const;
  bool PollDue = false; ///< A timer is set to call poll().

  /// See trialUrgency().
  [[nodiscard]] double urgency(const ServiceView &View, Instant Now) const;
  /// The targets that the request may be sent to now.
  TargetChoice choices(const ServiceView &View, const PlacementParams &Params,
                       Instant Now);
  /// Takes a slot of a target for a request.
  TargetLease take(const ServiceView &View, const TargetView &Target,
                   Instant Now);
  /// Acquires a slot for a request if there is one.
  /// \param Ahead number of requests that wait before it.
  Attempt attempt(const ServiceView &View, const PlacementParams &Params,
                  std::size_t Ahead, Instant Now);
  /// Ends the waits that are due and assigns the free slots.
  void serveQueue(Search &Run);
  /// Gives the free slots to waiting requests, in the order of the queue.
  void assignSlots(Search &Run);
  /// Gives one free slot to a waiting request. \returns whether the queue has
  /// changed.
  bool assignSlot(Search &Run);
  /// Ends a wait.
  void decide(WaitId Id, SlotWait::Result Decision, Search &Run);
  void reject(const std::vector<Rejected> &Gone, Search &Run);
  /// Rejects the waiting requests that would outlive a planned stop.
  void rejectPastDrain(Search &Run);
  /// Sets a timer to poll() if requests wait and none is set.
  void schedulePoll(TimerQueue *Timers, Instant Now);
  /// Ends what is outdated of the notices of a target, and updates this node's
  /// share of its rate limit.
  static void updateNotices(const ServiceView &View, const TargetView &Target,
                            Instant Now);
  /// Whether this node has as many requests at the service as its share of the
  /// slots allows, see exceedsOwnSlots().
  static bool usesOnlyOwnSlots(const ServiceView &View);
  static std::vector<TargetRoom> roomsOf(const ServiceView &View, Instant Now);
  /// Why a request that found no target must not wait until the targets allow
  /// it, if so.
  /// \param Ahead number of requests that wait before it.
  static std::optional<Rejection> checkNotices(const ServiceView &View,
                                               const Shortage &Reason,
                                               std::size_t Ahead,
                                               Instant Deadline, Instant Now);
  /// Whether \p Request must not be sent to a target, as the node exits.
  static bool isPastDrain(const PlacementParams &Request, Instant Now);
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_TARGETS_SERVICE_GATE_H
