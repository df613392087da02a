#ifndef SISKINSTAGE_NODE_WAKEUP_H
#define SISKINSTAGE_NODE_WAKEUP_H

#include "siskinstage/units.h"

#include <condition_variable>
#include <mutex>

namespace siskinstage {

/// Wakes the one reader of a ring when something was put in.
class Wakeup {
public:
  void ring() {
    const std::lock_guard<std::mutex> Guard(this->Lock);
    this->Rung = true;
    this->Changed.notify_one();
  }
  /// Waits until the bell rings, at most for \p Longest.
  void wait(Duration Longest) {
    std::unique_lock<std::mutex> Guard(this->Lock);
    this->Changed.wait_for(Guard, Longest, [this] { return this->Rung; });
    this->Rung = false;
  }

private:
  std::mutex Lock;
  std::condition_variable Changed;
  bool Rung = false;
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_WAKEUP_H
