#ifndef SISKINSTAGE_NODE_TARGETS_PLACEMENT_PARAMS_H
#define SISKINSTAGE_NODE_TARGETS_PLACEMENT_PARAMS_H

#include "core/requests/repeatability.h"
#include "siskinstage/strong_id.h"
#include "siskinstage/units.h"

#include <cstdint>
#include <set>

namespace siskinstage {

class DrainState;
class TimerQueue;

/// Properties of a request that needs a target.
struct PlacementParams {
  FailureDomain OwnDomain;  ///< Failure domain of this node.
  std::set<TargetId> Tried; ///< Targets of earlier attempts; not used again.
  Repeatability Kind = Repeatability::AtMostOnce;
  bool LargeBody = false;
  Instant Deadline;
  /// Limits when the request may be sent; null for no limit.
  const DrainState *Drain = nullptr;
  /// Calls ServiceGate::poll() while requests wait; null if something else
  /// does.
  TimerQueue *Timers = nullptr;
  AccountName Account;        ///< Empty for a request without an account.
  std::uint32_t Priority = 0; ///< 0 is the highest.
  /// Its route; the estimate of its work is learned by route.
  RouteName Route;
  Duration LatencyObjective{}; ///< Of the route; zero for none.
  std::uint64_t BodyBytes = 0;
  Instant Objective;       ///< The epoch if the route has no objective.
  std::uint64_t Bytes = 0; ///< Memory held while the request waits.
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_TARGETS_PLACEMENT_PARAMS_H
