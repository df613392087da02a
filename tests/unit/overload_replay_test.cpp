#include "unit/overload_replay.h"

#include <gtest/gtest.h>

namespace siskinstage::overload_replay {
namespace {

/// The sums over several seeds.
ReplayResult replay(double Load, bool Divided) {
  Scenario Settings;
  Settings.Load = Load;
  Settings.Divided = Divided;
  ReplayResult Sum;
  for (std::uint64_t Seed = 1; Seed <= 8; ++Seed) {
    const ReplayResult Result = Replay(Settings, Seed).run();
    Sum.Arrived += Result.Arrived;
    Sum.InTime += Result.InTime;
    Sum.Sent += Result.Sent;
    Sum.Rejected += Result.Rejected;
  }
  return Sum;
}

double rejectedShare(const ReplayResult &Result) {
  return static_cast<double>(Result.Rejected) / Result.Sent;
}

/// Guards against targets' queues filled by several entries at once: they
/// rejected 18% of what two services got, while slots were free elsewhere.
TEST(OverloadReplay, TargetsRejectFewRequestsBelowCapacity) {
  for (const double Load : {0.6, 0.8, 0.95})
    EXPECT_LT(rejectedShare(replay(Load, true)), 0.02) << "load " << Load;
}

/// Guards against queues that form at the targets, which know no priorities,
/// instead of at the nodes.
TEST(OverloadReplay, DividedTargetsRejectLessWhenSlotsAreFull) {
  for (const double Load : {1.3, 2.0})
    EXPECT_LT(rejectedShare(replay(Load, true)),
              rejectedShare(replay(Load, false)) / 2)
        << "load " << Load;
}

/// Guards against slots that stay empty since their target belongs to an entry
/// with too few callers.
TEST(OverloadReplay, DividedTargetsServeAsManyInTime) {
  for (const double Load : {0.6, 0.8, 0.95})
    EXPECT_GE(replay(Load, true).InTime, 0.99 * replay(Load, false).InTime)
        << "load " << Load;
}

} // namespace
} // namespace siskinstage::overload_replay
