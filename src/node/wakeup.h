#ifndef SISKINSTAGE_NODE_WAKEUP_H
#define SISKINSTAGE_NODE_WAKEUP_H

#include "siskinstage/units.h"

#include <condition_variable>
#include <mutex>

namespace siskinstage {

/// Wakes the single reader of a ring buffer after an element was added.
class Wakeup {
public:
  /// Wakes the reader; if it isn't waiting, its next wait() returns at once.
  void notify() {
    const std::lock_guard<std::mutex> Guard(this->Lock);
    this->Notified = true;
    this->Changed.notify_one();
  }
  /// Waits for notify(), at most for \p Limit.
  void wait(Duration Limit) {
    std::unique_lock<std::mutex> Guard(this->Lock);
    this->Changed.wait_for(Guard, Limit, [this] { return this->Notified; });
    this->Notified = false;
  }

private:
  std::mutex Lock;
  std::condition_variable Changed;
  bool Notified = false;
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_WAKEUP_H
