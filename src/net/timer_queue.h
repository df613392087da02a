#ifndef SISKINSTAGE_NET_TIMER_QUEUE_H
#define SISKINSTAGE_NET_TIMER_QUEUE_H

#include "siskinstage/error.h"
#include "siskinstage/units.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>

namespace siskinstage {

/// Calls functions at given times of the boot clock. Its descriptor becomes
/// readable when a call is due, and the thread that polls it then runs the
/// calls; they must not block. Thread-safe.
class TimerQueue {
public:
  static Result<std::unique_ptr<TimerQueue>> create();
  ~TimerQueue();
  TimerQueue(const TimerQueue &) = delete;
  TimerQueue &operator=(const TimerQueue &) = delete;

  void callAt(Instant At, std::function<void()> Call);
  /// Runs the calls that are due, without the lock, and clears the descriptor.
  void runDue(Instant Now);
  [[nodiscard]] int descriptor() const { return this->Timer; }

private:
  const int Timer; ///< Descriptor of the timer.
  std::mutex Lock;
  std::multimap<Instant, std::function<void()>> Calls;

  explicit TimerQueue(int Timer) : Timer(Timer) {}
  /// Sets the timer to the first call. The lock must be held.
  void arm();
};

} // namespace siskinstage

#endif // SISKINSTAGE_NET_TIMER_QUEUE_H
