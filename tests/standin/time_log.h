#ifndef SISKINSTAGE_TESTS_STANDIN_TIME_LOG_H
#define SISKINSTAGE_TESTS_STANDIN_TIME_LOG_H

#include <cstdint>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace siskinstage::standin {

/// Times of events, in milliseconds on the boot clock. Thread-safe.
class TimeLog {
public:
  void add(std::int64_t Ms) {
    const std::lock_guard<std::mutex> Guard(this->Lock);
    this->Times.push_back(Ms);
  }
  /// Returns the times as a JSON array, and clears them.
  std::string take() {
    std::vector<std::int64_t> Taken;
    {
      const std::lock_guard<std::mutex> Guard(this->Lock);
      Taken = std::exchange(this->Times, {});
    }
    std::string Text = "[";
    for (const std::int64_t Time : Taken)
      Text += (Text.size() > 1 ? "," : "") + std::to_string(Time);
    return Text + "]";
  }

private:
  std::mutex Lock;
  std::vector<std::int64_t> Times;
};

} // namespace siskinstage::standin

#endif // SISKINSTAGE_TESTS_STANDIN_TIME_LOG_H
