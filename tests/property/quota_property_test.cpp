#include "unit/quota_replay.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace siskinstage::replay {
namespace {

/// A whole number from \p Low to \p High, as a fraction of \p Unit.
double drawFraction(int Low, int High, double Unit) {
  return *rc::gen::inRange(Low, High + 1) / Unit;
}

/// Demand at random nodes, up to 12 times the quota, that moves every few
/// seconds.
std::function<double(int, double)> drawDemand(const QuotaLoad &Load) {
  struct Phase {
    std::vector<double> PerNode;
  };
  std::vector<Phase> Phases(static_cast<std::size_t>(Load.Length / 4) + 1);
  for (Phase &Item : Phases) {
    const double Factor = *rc::gen::element(0.3, 0.62, 1.0, 2.0, 12.0);
    const int Busy = *rc::gen::inRange(1, Load.Nodes + 1);
    Item.PerNode.assign(static_cast<std::size_t>(Load.Nodes), 0);
    for (int I = 0; I < Busy; ++I)
      Item.PerNode[*rc::gen::inRange<std::size_t>(0, Item.PerNode.size())] +=
          Factor * Load.Rate / Busy;
  }
  return [Phases](int Node, double Time) {
    return Phases[static_cast<std::size_t>(Time / 4)]
        .PerNode[static_cast<std::size_t>(Node)];
  };
}

/// Nodes on one side of a random division, or random single links.
std::function<bool(int, int)> drawCut(int Nodes) {
  const std::uint64_t Seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
  const int Kind = *rc::gen::inRange(0, 3);
  const int Size = *rc::gen::inRange(1, Nodes + 1);
  return [=](int From, int To) {
    if (Kind == 0)
      return (From < Size) != (To < Size);
    if (Kind == 1) // One direction alone.
      return From < Size && To >= Size;
    const auto Link = static_cast<std::uint64_t>(From * 100 + To);
    return (Link * 2654435761U + Seed) % 3 == 0;
  };
}

QuotaLoad drawLoad() {
  QuotaLoad Load;
  Load.Seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
  Load.Nodes = *rc::gen::inRange(1, 13);
  Load.Rate = *rc::gen::element(1.0, 3.0, 20.0, 150.0);
  Load.Burst = Load.Rate * drawFraction(0, 30, 10);
  Load.Length = 60;
  Load.WarmUp = 0;
  Load.MaxDelay = drawFraction(0, 20, 10);
  Load.Loss = drawFraction(0, 30, 100);
  const auto Length = static_cast<int>(Load.Length);
  for (int I = *rc::gen::inRange(0, 8); I > 0; --I) {
    const double From = *rc::gen::inRange(0, Length);
    Load.Outages.push_back({*rc::gen::inRange(0, Load.Nodes), From,
                            From + drawFraction(2, 300, 10),
                            *rc::gen::inRange(0, 2) == 0});
  }
  if (*rc::gen::inRange(0, 3) == 0)
    for (int I = 0; I < Load.Nodes; ++I)
      Load.Outages.push_back({I, 20, 20 + drawFraction(2, 40, 10)});
  for (int I = *rc::gen::inRange(0, 3); I > 0; --I) {
    const double From = *rc::gen::inRange(0, Length);
    Load.Cuts.push_back(
        {From, From + *rc::gen::inRange(1, 40), drawCut(Load.Nodes)});
  }
  Load.Demand = drawDemand(Load);
  return Load;
}

/// Fails if the nodes together run more of an account than the allowance in any
/// window, with any demand, delays, losses, cuts, frozen and restarted nodes.
RC_GTEST_PROP(QuotaProperty, TheSumOverTheNodesKeepsTheAllowance, ()) {
  const QuotaLoad Load = drawLoad();
  const QuotaResult Result = QuotaReplay(Load).run();
  RC_LOG() << Load.Nodes << " nodes, rate " << Load.Rate << ", burst "
           << Load.Burst << ", window " << Result.WorstWindow << " of "
           << Result.Allowed << "\n";
  RC_ASSERT(Result.WorstWindow <= Result.Allowed);
}

} // namespace
} // namespace siskinstage::replay
