#ifndef SISKINSTAGE_NODE_CALLERS_RESUME_QUEUE_H
#define SISKINSTAGE_NODE_CALLERS_RESUME_QUEUE_H

#include "siskinstage/error.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>

namespace siskinstage {

/// Connections whose suspended request is to be resumed. The descriptor is
/// readable while the queue is not empty. Thread-safe; producers may outlive
/// the server that reads it.
class ResumeQueue {
public:
  static Result<std::shared_ptr<ResumeQueue>> create();
  ~ResumeQueue();
  ResumeQueue(const ResumeQueue &) = delete;
  ResumeQueue &operator=(const ResumeQueue &) = delete;

  void push(std::uint64_t ConnectionId);
  /// \returns the first connection, or nothing if the queue is empty.
  std::optional<std::uint64_t> pop();
  [[nodiscard]] int descriptor() const { return this->Event; }

private:
  const int Event; ///< Descriptor that wakes the reader.
  std::mutex Lock;
  std::deque<std::uint64_t> Ids;

  explicit ResumeQueue(int Event) : Event(Event) {}
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_CALLERS_RESUME_QUEUE_H
