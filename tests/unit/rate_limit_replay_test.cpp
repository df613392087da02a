#include "unit/rate_limit_replay.h"

#include <gtest/gtest.h>

namespace siskinstage::replay {
namespace {

std::string describe(const RateLimitLoad &Load, const RateLimitResult &Result) {
  return std::to_string(Load.Nodes) + " nodes, limit " +
         std::to_string(Load.Limit) + ", seed " + std::to_string(Load.Seed) +
         ": window " + std::to_string(Result.WorstWindow) + " of " +
         std::to_string(Result.Allowed) + ", use " +
         std::to_string(Result.Use) + ", pause " +
         std::to_string(Result.LongestPause) + ", unserved " +
         std::to_string(Result.Unserved) + " of " +
         std::to_string(Result.Requests) + ", messages " +
         std::to_string(Result.Messages);
}

/// Share of the requests that are served, as all of them have room.
constexpr double MinServed = 0.97;

/// A load in which each node has three times its part of the limit.
RateLimitLoad loadFor(int Nodes, double Limit, std::uint64_t Seed) {
  RateLimitLoad Load;
  Load.Seed = Seed;
  Load.Nodes = Nodes;
  Load.Limit = Limit;
  Load.RequestsPerNode = std::max(6.0, 3 * Limit / Nodes * Load.Targets / 2);
  return Load;
}

TEST(RateLimitReplay, NodesTogetherKeepTheLimitAndUseIt) {
  for (const int Nodes : {8, 24, 60, 160})
    for (const double Limit : {0.2, 1.0, 5.0, 20.0, 200.0}) {
      const RateLimitLoad Load = loadFor(Nodes, Limit, 1);
      const RateLimitResult Result = RateLimitReplay(Load).run();
      EXPECT_LE(Result.WorstWindow, Result.Allowed) << describe(Load, Result);
      EXPECT_GE(Result.Use, 0.9) << describe(Load, Result);
      EXPECT_LE(Result.Unserved, (1 - MinServed) * Result.Requests)
          << describe(Load, Result);
      if (Limit >= 1) {
        EXPECT_LE(Result.LongestPause, 2) << describe(Load, Result);
      }
    }
}

TEST(RateLimitReplay, LostAndLateMessagesAndRestartsDoNotBreakTheLimit) {
  for (std::uint64_t Seed = 1; Seed <= 8; ++Seed)
    for (const int Nodes : {8, 60})
      for (const double Limit : {0.2, 1.0, 10.0, 100.0}) {
        RateLimitLoad Load = loadFor(Nodes, Limit, Seed);
        Load.Loss = 0.3;
        Load.Late = 0.2;
        Load.Restarts = 6;
        const RateLimitResult Result = RateLimitReplay(Load).run();
        EXPECT_LE(Result.WorstWindow, Result.Allowed) << describe(Load, Result);
      }
}

/// A load in which the failure domain of the nodes in charge has no callers,
/// while the other targets are full.
RateLimitLoad loadOfOtherDomains(int Nodes, double Limit, std::uint64_t Seed) {
  RateLimitLoad Load = loadFor(Nodes, Limit, Seed);
  Load.LimitedDomain = 3;
  Load.DomainsWithCallers = 2;
  Load.SlotFactor = 0.9;
  Load.Length = 60;
  return Load;
}

TEST(RateLimitReplay, NodesThatTakeOverAnUnusedLimitKeepIt) {
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed)
    for (const int Nodes : {8, 24, 60, 160})
      for (const double Limit : {0.2, 1.0, 5.0, 20.0}) {
        const RateLimitLoad Load = loadOfOtherDomains(Nodes, Limit, Seed);
        const RateLimitResult Result = RateLimitReplay(Load).run();
        EXPECT_LE(Result.WorstWindow, Result.Allowed) << describe(Load, Result);
      }
}

/// Guards against a limited target that gets little, as the failure domain of
/// the nodes in charge has no callers.
TEST(RateLimitReplay, NodesWithCallersUseALimitOfAnotherDomain) {
  for (std::uint64_t Seed = 1; Seed <= 5; ++Seed)
    for (const int Nodes : {8, 24, 60})
      for (const double Limit : {1.0, 5.0}) {
        const RateLimitLoad Load = loadOfOtherDomains(Nodes, Limit, Seed);
        const RateLimitResult Result = RateLimitReplay(Load).run();
        EXPECT_GE(Result.Use, 0.9) << describe(Load, Result);
      }
}

TEST(RateLimitReplay, LoadReturnsWithoutABurstAfterTheLimit) {
  for (std::uint64_t Seed = 1; Seed <= 5; ++Seed) {
    RateLimitLoad Load = loadFor(24, 1, Seed);
    Load.StatedUntil = 12;
    const RateLimitResult Result = RateLimitReplay(Load).run();
    EXPECT_LE(Result.BurstAtEnd, 3) << describe(Load, Result);
  }
}

} // namespace
} // namespace siskinstage::replay
