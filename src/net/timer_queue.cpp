#include "net/timer_queue.h"

#include <algorithm>
#include <cerrno>
#include <cstdint>
#include <cstring>
#include <ctime>
#include <sys/timerfd.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace siskinstage {

Result<std::unique_ptr<TimerQueue>> TimerQueue::create() {
  const int Timer =
      ::timerfd_create(CLOCK_BOOTTIME, TFD_NONBLOCK | TFD_CLOEXEC);
  if (Timer < 0)
    return fail(Step::Listen, "timer",
                std::string("can't create a timer: ") + std::strerror(errno));
  return std::unique_ptr<TimerQueue>(new TimerQueue(Timer));
}

TimerQueue::~TimerQueue() { ::close(this->Timer); }

void TimerQueue::arm() {
  itimerspec Next{};
  if (!this->Calls.empty()) {
    // A time of zero would disarm the timer.
    const Duration At = std::max<Duration>(
        this->Calls.begin()->first.time_since_epoch(), Duration(1));
    const auto Seconds = std::chrono::floor<std::chrono::seconds>(At);
    Next.it_value.tv_sec = Seconds.count();
    Next.it_value.tv_nsec = (At - Seconds).count();
  }
  ::timerfd_settime(this->Timer, TFD_TIMER_ABSTIME, &Next, nullptr);
}

void TimerQueue::callAt(Instant At, std::function<void()> Call) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  const bool First = this->Calls.empty() || At < this->Calls.begin()->first;
  this->Calls.emplace(At, std::move(Call));
  if (First)
    this->arm();
}

void TimerQueue::runDue(Instant Now) {
  std::vector<std::function<void()>> Due;
  {
    const std::lock_guard<std::mutex> Guard(this->Lock);
    std::uint64_t Expirations = 0;
    [[maybe_unused]] const auto Read =
        ::read(this->Timer, &Expirations, sizeof(Expirations));
    const auto End = this->Calls.upper_bound(Now);
    for (auto Entry = this->Calls.begin(); Entry != End; ++Entry)
      Due.push_back(std::move(Entry->second));
    this->Calls.erase(this->Calls.begin(), End);
    this->arm();
  }
  for (const std::function<void()> &Call : Due)
    Call();
}

} // namespace siskinstage
