#ifndef SISKINSTAGE_NODE_TARGETS_SERVICE_GATE_H
#define SISKINSTAGE_NODE_TARGETS_SERVICE_GATE_H

#include "core/requests/repeatability.h"
#include "core/requests/retry_budget.h"
#include "core/requests/retry_share.h"
#include "core/targets/observation.h"
#include "core/targets/pick.h"
#include "core/targets/target_notices.h"
#include "node/targets/target_lease.h"
#include "siskinstage/units.h"

#include <condition_variable>
#include <cstdint>
#include <list>
#include <mutex>
#include <optional>
#include <set>
#include <tl/expected.hpp>

namespace siskinstage {

class DrainState;
class SnapshotHolder;
struct TargetGauge;

/// Properties of a request that needs a target.
struct PlacementParams {
  FailureDomain OwnDomain;  ///< Failure domain of this node.
  std::set<TargetId> Tried; ///< Targets of earlier attempts; not used again.
  Repeatability Kind = Repeatability::AtMostOnce;
  bool LargeBody = false;
  Instant Deadline;
  /// Limits when the request may be sent; null for no limit.
  const DrainState *Drain = nullptr;
};

/// Admission of requests to one service: chooses the target, counts its slots,
/// queues requests while no slot is free, and holds the retry budget. It also
/// guards the gray-failure estimates of the targets. Thread-safe.
class ServiceGate : public std::enable_shared_from_this<ServiceGate> {
public:
  /// Why a request got no target.
  enum class Refusal {
    NoTarget,   ///< No admitted target is left untried.
    QueueFull,  ///< config::MaxQueuePerService requests are waiting.
    TooLate,    ///< No slot is free, or expected to be, before the deadline.
    Restricted, ///< What the targets state leaves no room in time.
    NoService,  ///< The service is no longer configured.
    Draining,   ///< The node exits before the request would end.
  };

  /// A request that got no target.
  struct Rejection {
    Refusal Reason = Refusal::NoTarget;
    /// Time until there may be room, if it is known.
    std::optional<Duration> RetryAfter;
    bool operator==(Refusal Other) const { return this->Reason == Other; }
  };

  struct Stats {
    std::uint32_t Waiting = 0; ///< Requests in the queue.
    double RetriesLeft = 0;    ///< Retries in the budget.
  };

  /// Change of the probability that a target is in a gray-failure episode.
  struct EstimateChange {
    double Before = 0;
    double After = 0;
    bool Broadcast = false; ///< The other nodes must be notified.
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

  /// Acquires a slot at an admitted target that was not tried. Waits for one
  /// until the deadline, at most config::MaxQueueWait.
  tl::expected<TargetLease, Rejection> acquire(const SnapshotHolder &Snapshots,
                                               const PlacementParams &Params);
  /// Called by TargetLease when its slot is free again.
  /// \param Placed when the request that held the slot was placed.
  void release(TargetGauge &Gauge, Instant Placed);

  /// Updates the estimate of a target with the evidence of a request.
  EstimateChange addEvidence(TargetGauge &Gauge, Evidence Kind);
  /// Replaces the estimate of a target by that of another node.
  void adopt(TargetGauge &Gauge, double GrayProbability);
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

  /// Whether a target that was not tried has a free slot and is probably
  /// healthy, so that an overdue request is better sent there.
  [[nodiscard]] bool hasHealthySlot(const ServiceView &View,
                                    const PlacementParams &Params);

  /// Adds a fraction of a retry to the budget, for the first attempt of a
  /// request.
  void addFirstAttempt();
  /// Takes one retry from the budget. \returns false if there is none.
  [[nodiscard]] bool takeRetry();
  void configure(RoutingPolicy Policy, const RetryShare &Retries);
  [[nodiscard]] Stats stats();

private:
  /// A queued request; its thread sleeps on Wakeup.
  struct Waiter {
    const PlacementParams &Request;
    Instant WaitLimit; ///< When it stops waiting.
    bool Woken = false;
    std::condition_variable Wakeup;
  };
  /// Why no slot could be acquired.
  struct Shortage {
    /// The request has targets left, but none with a slot for it.
    bool NoFreeSlot = false;
    /// A slot is free that another request may use.
    bool UsableByOthers = false;
    /// A target has a free slot, but what it states allows no request now.
    bool Restricted = false;
    /// A target that states no restriction is left; a slot may become free.
    bool UnrestrictedTarget = false;
  };

  ServiceName Name;
  std::mutex Lock;
  RoutingPolicy SelectionName = RoutingPolicy::TwoChoices;
  Policy Selection;
  Random Rng;
  RetryBudget Budget;
  bool Configured = false;
  /// Requests that wait for a slot, in order of arrival. The first one looks
  /// for slots and wakes the others.
  std::list<Waiter *> Queue;

  /// The targets that the request may be sent to now; \p Reason is set for the
  /// others.
  std::vector<Candidate> candidates(const ServiceView &View,
                                    const PlacementParams &Params, Instant Now,
                                    Shortage &Reason);
  std::optional<TargetLease> tryAcquire(const ServiceView &View,
                                        const PlacementParams &Params,
                                        Shortage &Reason);
  /// Ends what is outdated of the notices of a target, and updates this node's
  /// share of its rate limit.
  static void updateNotices(const ServiceView &View, const TargetView &Target,
                            Instant Now);
  /// Why a request that found no target must not wait until the targets allow
  /// it, if so.
  /// \param Ahead number of requests that wait before it.
  static std::optional<Rejection> checkNotices(const ServiceView &View,
                                               const Shortage &Reason,
                                               std::size_t Ahead,
                                               Instant Deadline);
  /// Why a request that found no free slot must not wait for one, if so.
  [[nodiscard]] std::optional<Rejection> checkWait(const ServiceView &View,
                                                   Instant Deadline) const;
  /// Number of waiters before \p Self; all if it does not wait.
  [[nodiscard]] std::size_t waitersAhead(const Waiter *Self) const;
  /// Sleeps until \p Self is woken, reaches its limit, or is first in the queue
  /// and due to look for a slot again.
  void await(Waiter &Self, std::unique_lock<std::mutex> &Guard);
  static void wake(Waiter &Waiting);
  /// Whether \p Request must not be sent to a target, as the node exits.
  static bool isPastDrain(const PlacementParams &Request, Instant Now);
  void wakeFirst();
  void wakeNextAfter(const Waiter &Self);
  void dequeue(Waiter &Self);
  /// Slots of a target that this node can use: with a rate limit, as many as
  /// this node's share keeps in use.
  static double usableSlots(const ServiceView &View, const TargetView &Target,
                            Instant Now);
  /// Whether a request that joins the queue now is expected to miss its
  /// deadline.
  [[nodiscard]] bool missesDeadline(const ServiceView &View,
                                    Instant Deadline) const;
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_TARGETS_SERVICE_GATE_H
