#include "unit/gray_replay.h"

#include <gtest/gtest.h>

namespace siskinstage::gray_replay {
namespace {

/// The ideal that sees every failure at once loses one request a spell and the
/// errors of sound targets. Bound: two requests a spell more than that.
void expectFewLost(const Load &What, double PerSpell) {
  for (const std::uint64_t Seed : {1U, 2U, 3U, 4U, 5U}) {
    const Outcome Seen = Replay(What, Seed).run();
    const double Ideal = Seen.Spells + Seen.Asked * What.ErrorShare;
    EXPECT_LE(Seen.Lost, Ideal + Seen.Spells * PerSpell)
        << "seed " << Seed << ": " << Seen.Asked << " asked, " << Seen.Spells
        << " spells, ideal " << Ideal;
  }
}

TEST(GrayReplay, TargetsThatFailAtOnceInTurn) { expectFewLost({}, 2); }

TEST(GrayReplay, TargetsThatHangInTurn) {
  Load What;
  What.Hangs = true;
  expectFewLost(What, 2);
}

TEST(GrayReplay, WorkThatMustNotRunTwiceAlone) {
  Load What;
  What.RepeatablePart = 0;
  expectFewLost(What, 2);
}

/// FLOOR of the users' rules: no sound target may go without work for long.
TEST(GrayReplay, SoundTargetsKeepTheirWork) {
  Load What;
  What.Gray = Millis(1);
  What.Sound = Millis(1'000'000);
  const Outcome Seen = Replay(What, 9).run();
  const int Fair = Seen.Asked / What.Targets;
  for (const int Each : Seen.Served)
    EXPECT_GT(Each, Fair / 4);
}

} // namespace
} // namespace siskinstage::gray_replay
