#include "unit/rate_limit_replay.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace siskinstage::replay {
namespace {

/// A whole number from \p Low to \p High, as a fraction of \p Unit.
double drawFraction(int Low, int High, double Unit) {
  return *rc::gen::inRange(Low, High + 1) / Unit;
}

RateLimitLoad drawLoad() {
  RateLimitLoad Load;
  Load.Seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
  Load.Nodes = *rc::gen::inRange(1, 61);
  Load.Domains = 4;
  Load.LimitedDomain = *rc::gen::inRange(0, 4);
  Load.DomainsWithCallers = *rc::gen::inRange(1, 5);
  Load.Limit = *rc::gen::element(0.1, 0.2, 0.7, 1.0, 3.0, 10.0, 50.0);
  Load.RequestsPerNode = drawFraction(1, 20, 1);
  Load.SlotFactor = drawFraction(5, 30, 10);
  Load.Loss = drawFraction(0, 50, 100);
  Load.Late = drawFraction(0, 30, 100);
  Load.Restarts = *rc::gen::inRange(0, 6);
  Load.Length = 30;
  return Load;
}

/// Whatever is lost or late, and whichever nodes restart, a target gets no more
/// than its limit allows.
RC_GTEST_PROP(RateLimitProperty, TheSumOverTheNodesKeepsTheLimit, ()) {
  const RateLimitLoad Load = drawLoad();
  const RateLimitResult Result = RateLimitReplay(Load).run();
  RC_LOG() << Load.Nodes << " nodes, limit " << Load.Limit << ", window "
           << Result.WorstWindow << " of " << Result.Allowed << "\n";
  RC_ASSERT(Result.WorstWindow <= Result.Allowed);
}

} // namespace
} // namespace siskinstage::replay
