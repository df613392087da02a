#include "net/boot_time.h"

#include <algorithm>
#include <ctime>

namespace siskinstage {

Instant bootNow() {
  timespec Time{};
  clock_gettime(CLOCK_BOOTTIME, &Time);
  return Instant(std::chrono::seconds(Time.tv_sec) +
                 std::chrono::nanoseconds(Time.tv_nsec));
}

Duration timeLeft(Instant Deadline) {
  return std::max(Deadline - bootNow(), Duration::zero());
}

} // namespace siskinstage
