#include "core/requests/drain_schedule.h"
#include "siskinstage/config.h"

#include <gtest/gtest.h>

namespace siskinstage {
namespace {

const Instant Start = Instant(std::chrono::hours(1));

TEST(DrainSchedule, LateRequestsAreSentOnlyIfTheyEndBeforeTheExit) {
  const auto Plan = DrainSchedule::starting(Start, Millis(10'000));
  const Instant Ending = Plan.Exit - config::DrainExitMargin;
  EXPECT_EQ(Plan.sendLimit(Ending), Ending);
  EXPECT_EQ(Plan.sendLimit(Ending + Millis(1)), Plan.LastSend);
  EXPECT_EQ(Plan.LastSend, Start + config::DrainServeTime);
}

TEST(DrainSchedule, HalfOfAShortDrainIsLeftForRequestsToEnd) {
  const auto Plan = DrainSchedule::starting(Start, Millis(1000));
  EXPECT_EQ(Plan.LastSend, Start + Millis(500));
  EXPECT_EQ(Plan.Exit, Start + Millis(1000));
  EXPECT_EQ(Plan.LastAnswer, Start + Millis(970));
}

TEST(DrainSchedule, NoRequestWaitsForItsTargetUntilTheExit) {
  const auto Plan = DrainSchedule::starting(Start, Millis(10'000));
  EXPECT_EQ(Plan.LastAnswer, Plan.Exit - config::DrainExitMargin);
  EXPECT_EQ(Plan.waitLimit(Plan.Exit + Millis(1)), Plan.LastAnswer);
  EXPECT_EQ(Plan.waitLimit(Start + Millis(200)), Start + Millis(200));
}

TEST(DrainSchedule, ADeadlineBeforeTheLastSendHolds) {
  const auto Plan = DrainSchedule::starting(Start, Millis(10'000));
  EXPECT_EQ(Plan.sendLimit(Start + Millis(200)), Start + Millis(200));
}

} // namespace
} // namespace siskinstage
