#include "net/boot_time.h"
#include "net/timer_queue.h"

#include <gtest/gtest.h>
#include <poll.h>
#include <vector>

namespace siskinstage {
namespace {

bool isReadable(const TimerQueue &Timers, int WaitMillis) {
  pollfd Polled{Timers.descriptor(), POLLIN, 0};
  return ::poll(&Polled, 1, WaitMillis) > 0;
}

/// Guards against a waiting request that is not woken: an earlier call that is
/// added later must set the timer anew, and running it must set it for the
/// rest.
TEST(TimerQueue, CallsRunInOrderOfTheirTimes) {
  const auto Created = TimerQueue::create();
  ASSERT_TRUE(Created);
  TimerQueue &Timers = **Created;
  std::vector<int> Called;
  const Instant Now = bootNow();
  Timers.callAt(Now + Millis(60'000), [&] { Called.push_back(3); });
  Timers.callAt(Now + Millis(40), [&] { Called.push_back(2); });
  Timers.callAt(Now + Millis(20), [&] { Called.push_back(1); });
  ASSERT_TRUE(isReadable(Timers, 1000));
  Timers.runDue(Now + Millis(20));
  EXPECT_EQ(Called, std::vector<int>({1}));
  ASSERT_TRUE(isReadable(Timers, 1000));
  Timers.runDue(Now + Millis(50));
  EXPECT_EQ(Called, std::vector<int>({1, 2}));
  EXPECT_FALSE(isReadable(Timers, 0));
}

/// Guards against a deadlock where a call sets the next timer, as a gate does.
TEST(TimerQueue, ACallMaySetATimer) {
  const auto Created = TimerQueue::create();
  ASSERT_TRUE(Created);
  TimerQueue &Timers = **Created;
  int Called = 0;
  const Instant Now = bootNow();
  Timers.callAt(Now, [&] { Timers.callAt(Now, [&] { ++Called; }); });
  Timers.runDue(Now);
  EXPECT_TRUE(isReadable(Timers, 1000));
  Timers.runDue(Now);
  EXPECT_EQ(Called, 1);
}

} // namespace
} // namespace siskinstage
