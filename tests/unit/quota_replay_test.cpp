#include "unit/quota_replay.h"

#include <gtest/gtest.h>

namespace siskinstage::replay {
namespace {

/// Bounds of the requirements on requests that are refused within the quota.
constexpr double MaxFalseSteady = 0.01;
constexpr double MaxFalseAfterMove = 0.05;
/// The usual part of the quota that an account uses.
constexpr double UsualLoad = 0.62;

/// A load at some of six nodes, from \p From to \p To.
QuotaLoad loadAt(int From, int To, double Rate) {
  QuotaLoad Load;
  Load.Rate = Load.Burst = Rate;
  Load.Demand = [=](int Node, double) {
    return Node >= From && Node < To ? UsualLoad * Rate / (To - From) : 0;
  };
  return Load;
}

/// Fails if an account whose callers are at few nodes, or at all, gets less
/// than its quota.
TEST(QuotaReplay, SteadySkewIsServed) {
  for (const double Rate : {20.0, 100.0, 500.0})
    for (const int Busy : {1, 2, 6}) {
      const QuotaResult Result = QuotaReplay(loadAt(0, Busy, Rate)).run();
      EXPECT_LE(Result.falseShare(8, 30), MaxFalseSteady)
          << Rate << "/s at " << Busy;
      EXPECT_LE(Result.WorstWindow, Result.Allowed);
    }
}

/// Fails if nodes that take themselves for entries while a fleet starts are
/// counted on: of 110 nodes 35 were, and six entries had 6/35 of the quotas.
TEST(QuotaReplay, NodesThatAreNoEntriesAfterTheStartTakeNoShare) {
  QuotaLoad Load = loadAt(0, 6, 500);
  Load.Nodes = 24;
  Load.Entries = 6;
  Load.ViewsSettle = 1.5;
  Load.WarmUp = 8;
  const QuotaResult Result = QuotaReplay(Load).run();
  EXPECT_LE(Result.falseShare(10, 30), MaxFalseSteady);
  EXPECT_LE(Result.WorstWindow, Result.Allowed);
}

/// Fails if the shares follow callers that move to other nodes too slowly.
TEST(QuotaReplay, SharesFollowTheDemand) {
  for (const double Rate : {100.0, 500.0}) {
    QuotaLoad Load = loadAt(0, 2, Rate);
    Load.Demand = [=](int Node, double Time) {
      const int First = Time < 15 ? 0 : 2;
      return Node == First || Node == First + 1 ? UsualLoad * Rate / 2 : 0;
    };
    const QuotaResult Result = QuotaReplay(Load).run();
    EXPECT_LE(Result.falseShare(15, 20), MaxFalseAfterMove) << Rate;
    EXPECT_LE(Result.WorstWindow, Result.Allowed);
  }
}

/// Fails if half of the nodes, killed and back within three seconds, take the
/// quota with them, or bring it back twice.
TEST(QuotaReplay, HalfOfTheNodesAreKilledAtOnce) {
  constexpr double Rate = 500;
  QuotaLoad Load = loadAt(0, 6, Rate);
  for (int I = 0; I < 3; ++I)
    Load.Outages.push_back({I, 12, 15});
  Load.Demand = [](int Node, double Time) {
    const bool Lost = Time >= 12 && Time < 15.5;
    return Lost && Node < 3 ? 0 : UsualLoad * Rate / (Lost ? 3 : 6);
  };
  const QuotaResult Result = QuotaReplay(Load).run();
  EXPECT_LE(Result.falseShare(12, 20), MaxFalseAfterMove);
  EXPECT_LE(Result.WorstWindow, Result.Allowed);
}

/// Fails if an account at several times its quota gets far less than the quota.
TEST(QuotaReplay, AFloodUsesTheQuota) {
  constexpr double Rate = 500;
  QuotaLoad Load = loadAt(0, 6, Rate);
  Load.Demand = [](int Node, double) {
    return Node == 0 ? 5 * Rate : Rate / 6;
  };
  const QuotaResult Result = QuotaReplay(Load).run();
  EXPECT_GE(Result.Ran, 0.9 * Rate * (Load.Length - Load.WarmUp));
  EXPECT_LE(Result.WorstWindow, Result.Allowed);
}

/// Fails if nodes whose demand is within their shares talk more than it takes
/// to know that they are in contact.
TEST(QuotaReplay, EqualDemandTakesOnlyContacts) {
  const QuotaResult Result = QuotaReplay(loadAt(0, 6, 500)).run();
  EXPECT_LE(Result.MessagesPerNodeSecond, 3.5);
}

/// Fails if a token of a request that was refused for another reason is lost.
TEST(AccountQuota, ATokenIsGivenBack) {
  Random Rng(1);
  const Instant Start(Millis(1000));
  AccountQuota Quota({1, 1}, Start - std::chrono::seconds(10));
  Quota.setClaim(1, Start + std::chrono::seconds(10), Start);
  EXPECT_TRUE(Quota.admit(Start, Rng).Admitted);
  EXPECT_FALSE(Quota.admit(Start, Rng).Admitted);
  Quota.giveBack();
  EXPECT_TRUE(Quota.admit(Start, Rng).Admitted);
}

/// Fails if refused callers are told to return together, or before there is
/// room.
TEST(AccountQuota, RetryAfterIsTrueAndSpread) {
  Random Rng(1);
  const Instant Start(Millis(1000));
  AccountQuota Quota({10, 1}, Start);
  Quota.setClaim(1, Start + std::chrono::seconds(10), Start);
  EXPECT_EQ(Quota.admit(Start, Rng).RetryAfter, Millis(100));
  EXPECT_EQ(Quota.admit(Start, Rng).RetryAfter, Millis(200));
  for (int I = 0; I < 200; ++I) {
    const auto Decision = Quota.admit(Start, Rng);
    EXPECT_GE(Decision.RetryAfter, Millis(100));
    EXPECT_LE(Decision.RetryAfter, config::MaxQuotaRetryAfter);
  }
  EXPECT_TRUE(Quota.admit(Start + Millis(100), Rng).Admitted);
}

} // namespace
} // namespace siskinstage::replay
