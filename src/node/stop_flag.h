#ifndef SISKINSTAGE_NODE_STOP_FLAG_H
#define SISKINSTAGE_NODE_STOP_FLAG_H

#include "siskinstage/units.h"

#include <condition_variable>
#include <mutex>

namespace siskinstage {

/// Tells threads to stop and wakes those that sleep.
class StopFlag {
public:
  void stop() {
    const std::lock_guard<std::mutex> Guard(this->Lock);
    this->Stopped = true;
    this->Changed.notify_all();
  }
  [[nodiscard]] bool stopped() {
    const std::lock_guard<std::mutex> Guard(this->Lock);
    return this->Stopped;
  }
  /// Sleeps for \p Length or until stop(). \returns whether stop() was called.
  bool sleep(Duration Length) {
    std::unique_lock<std::mutex> Guard(this->Lock);
    return this->Changed.wait_for(Guard, Length,
                                  [this] { return this->Stopped; });
  }

private:
  std::mutex Lock;
  std::condition_variable Changed;
  bool Stopped = false;
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_STOP_FLAG_H
