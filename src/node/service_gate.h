#ifndef SISKINSTAGE_NODE_SERVICE_GATE_H
#define SISKINSTAGE_NODE_SERVICE_GATE_H

#include "core/observation.h"
#include "core/pick.h"
#include "core/repeatability.h"
#include "core/retry_budget.h"
#include "core/retry_share.h"
#include "node/target_lease.h"
#include "siskinstage/units.h"

#include <condition_variable>
#include <cstdint>
#include <list>
#include <mutex>
#include <optional>
#include <set>
#include <tl/expected.hpp>

namespace siskinstage {

class SnapshotHolder;
struct TargetGauge;

/// A request that needs a target.
struct PlacementOrder {
  FailureDomain Own; ///< Of this node.
  std::set<TargetId> Tried;
  Repeatability Kind = Repeatability::AtMostOnce;
  bool LargeBody = false;
  Instant Deadline;
};

/// Lets requests to one service through to its targets: chooses the target,
/// holds its slots, queues what finds none free, and keeps the retry budget.
class ServiceGate : public std::enable_shared_from_this<ServiceGate> {
public:
  /// Why a request got no target.
  enum class Refusal {
    NoTarget,  ///< No admitted target that was not tried.
    QueueFull, ///< Too many wait already.
    TooLate,   ///< The wait would outlast the deadline, or did.
    NoService, ///< The service's record went away meanwhile.
  };

  struct Stats {
    std::uint32_t Waiting = 0;
    double RetriesLeft = 0;
  };

  /// What evidence did to the chance that a target is gray.
  struct BeliefChange {
    double Before = 0;
    double After = 0;
    bool Tell = false; ///< The other nodes should hear of it.
  };

  /// How the work of this node covers the targets that may get some.
  struct Coverage {
    std::uint32_t Admitted = 0;
    std::uint32_t Suspected = 0; ///< Probably gray.
    std::uint32_t Idle = 0;      ///< Without a request for config::WorkWindow.
  };

  ServiceGate(ServiceName Name, std::uint64_t Seed);

  /// A slot at a target that is admitted and was not tried; waits for one
  /// until the order's deadline.
  tl::expected<TargetLease, Refusal> enter(const SnapshotHolder &Snapshots,
                                           const PlacementOrder &Order);
  /// Called by TargetLease when a slot is free again.
  /// \param Placed when the request that held it was placed.
  void leave(TargetGauge &Gauge, Instant Placed);

  /// Takes in what a request showed of a target.
  BeliefChange note(TargetGauge &Gauge, Evidence What);
  /// Takes over what another node believes of a target.
  void adopt(TargetGauge &Gauge, double GrayProbability);
  [[nodiscard]] double grayProbability(const TargetGauge &Gauge);
  /// Time since this node last placed a request at a target.
  [[nodiscard]] Duration idleTime(const TargetGauge &Gauge);
  [[nodiscard]] Coverage coverage(const ServiceView &View);

  /// Whether a target that was not tried has a free slot and is probably sound,
  /// so that work which waits elsewhere would be better off there.
  [[nodiscard]] bool hasSoundRoom(const ServiceView &View,
                                  const PlacementOrder &Order);

  void firstTry();
  [[nodiscard]] bool takeRetry();
  void configure(RoutingPolicy Policy, const RetryShare &Retries);
  [[nodiscard]] Stats stats();

private:
  /// A request that waits; its thread sleeps until it is woken.
  struct Waiter {
    Instant Limit;
    bool Woken = false;
    std::condition_variable Wake;
  };
  /// Why no target could be taken now.
  struct Obstacle {
    bool Full = false; ///< Targets were left, but had no free slot.
    /// A slot is free that another request may have.
    bool Another = false;
  };

  ServiceName Name;
  std::mutex Lock;
  RoutingPolicy PolicyName = RoutingPolicy::TwoChoices;
  Policy How;
  Random Dice;
  RetryBudget Budget;
  bool Configured = false;
  /// Requests that wait for a slot, in the order in which they came. The first
  /// one looks for slots, and wakes the others.
  std::list<Waiter *> Queue;

  /// The targets that \p Order may go to now; \p Why says of the others.
  std::vector<Candidate> candidates(const ServiceView &View,
                                    const PlacementOrder &Order, Instant Now,
                                    Obstacle &Why);
  std::optional<TargetLease>
  tryEnter(const ServiceView &View, const PlacementOrder &Order, Obstacle &Why);
  /// Why a request that found no free slot may not wait for one.
  [[nodiscard]] std::optional<Refusal> refusesWait(const ServiceView &View,
                                                   Instant Deadline) const;
  /// Sleeps until \p Self is woken, or is to look for a slot again.
  void await(Waiter &Self, std::unique_lock<std::mutex> &Guard);
  static void wake(Waiter &Each);
  void wakeFirst();
  void wakeNext(const Waiter &Self);
  void leaveQueue(Waiter &Self);
  [[nodiscard]] bool tooLate(const ServiceView &View, Instant Deadline) const;
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_SERVICE_GATE_H
