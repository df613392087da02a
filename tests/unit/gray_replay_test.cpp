#include "unit/gray_replay.h"

#include <gtest/gtest.h>

namespace siskinstage::gray_replay {
namespace {

/// An ideal detector that notices every failure immediately loses one request
/// in each gray-failure episode, and those that healthy targets answer with an
/// error. The replay may lose \p ExtraPerEpisode requests more in each episode.
void expectFewLost(const Scenario &Settings, double ExtraPerEpisode) {
  for (const std::uint64_t Seed : {1U, 2U, 3U, 4U, 5U}) {
    const ReplayResult Result = Replay(Settings, Seed).run();
    const double IdealLoss =
        Result.Episodes + Result.AtMostOnce * Settings.ErrorRate;
    EXPECT_LE(Result.Lost, IdealLoss + Result.Episodes * ExtraPerEpisode)
        << "seed " << Seed << ": " << Result.AtMostOnce
        << " at-most-once requests, " << Result.Episodes
        << " gray-failure episodes, ideal loss " << IdealLoss;
  }
}

TEST(GrayReplay, TargetsThatFailAtOnceInTurn) { expectFewLost({}, 2); }

TEST(GrayReplay, TargetsThatHangInTurn) {
  Scenario Settings;
  Settings.HangsWhenGray = true;
  expectFewLost(Settings, 2);
}

TEST(GrayReplay, WorkThatMustNotRunTwiceAlone) {
  Scenario Settings;
  Settings.RepeatableFraction = 0;
  expectFewLost(Settings, 2);
}

/// The users' rule FLOOR: no healthy target may go without requests for long.
/// Without gray failures and disruptions, no target gets less than a quarter of
/// an even share of the requests.
TEST(GrayReplay, SoundTargetsKeepTheirWork) {
  Scenario Settings;
  Settings.MeanGrayTime = Millis(1);
  Settings.MeanHealthyTime = Millis(1'000'000);
  const ReplayResult Result = Replay(Settings, 9).run();
  const int EvenShare = Result.AtMostOnce / Settings.Targets;
  for (const int Count : Result.RequestsPerTarget)
    EXPECT_GT(Count, EvenShare / 4);
}

} // namespace
} // namespace siskinstage::gray_replay
