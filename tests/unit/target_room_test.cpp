#include "core/targets/target_room.h"
#include "siskinstage/config.h"

#include <gtest/gtest.h>

namespace siskinstage {
namespace {

using std::chrono::seconds;

TargetRoom targetWith(double Slots, std::uint32_t InFlight) {
  TargetRoom Target;
  Target.Slots = Slots;
  Target.InFlight = InFlight;
  return Target;
}

/// Guards against an estimate that counts slots which the targets' rate limits
/// or back-off times keep this node from using.
TEST(TargetRoom, CountsOnlyTheSlotsThatMayBeUsed) {
  TargetRoom Limited = targetWith(6, 0);
  Limited.Limited = true;
  Limited.SharePerSecond = 2;
  TargetRoom LeftAlone = targetWith(6, 0);
  LeftAlone.BackOffLeft = seconds(1);
  LeftAlone.MayReceive = false;
  const std::vector<TargetRoom> Targets = {targetWith(3, 2), Limited, LeftAlone,
                                           targetWith(3, 5)};
  const Room Known = roomOf(Targets, Millis(500));
  EXPECT_EQ(Known.Slots, 7U);
  EXPECT_EQ(Known.Free, 2U);
  // Without a latency a rate can't be converted into slots.
  EXPECT_EQ(roomOf(Targets, Duration::zero()).Slots, 12U);
}

/// Guards against requests that are held although the rate limits leave no room
/// for them behind those that wait already.
TEST(TargetRoom, TheWaitForARateLimitGrowsWithTheRequestsAhead) {
  TargetRoom Limited = targetWith(1, 0);
  Limited.Limited = true;
  Limited.SharePerSecond = 4;
  EXPECT_FALSE(restrictedWait({Limited}, 3, seconds(1)));
  EXPECT_EQ(restrictedWait({Limited}, 7, seconds(1)), Duration(seconds(2)));
  Limited.SharePerSecond = 0;
  EXPECT_EQ(restrictedWait({Limited}, 0, seconds(1)),
            Duration(config::MaxNoticeRetryAfter));
}

} // namespace
} // namespace siskinstage
