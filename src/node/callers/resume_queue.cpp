#include "node/callers/resume_queue.h"

#include <cerrno>
#include <cstring>
#include <sys/eventfd.h>
#include <unistd.h>

namespace siskinstage {

Result<std::shared_ptr<ResumeQueue>> ResumeQueue::create() {
  const int Event = ::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  if (Event < 0)
    return fail(Step::Listen, "event descriptor",
                std::string("can't create one: ") + std::strerror(errno));
  return std::shared_ptr<ResumeQueue>(new ResumeQueue(Event));
}

ResumeQueue::~ResumeQueue() { ::close(this->Event); }

void ResumeQueue::push(std::uint64_t ConnectionId) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  this->Ids.push_back(ConnectionId);
  if (this->Ids.size() > 1)
    return; // The descriptor is readable already.
  const std::uint64_t One = 1;
  [[maybe_unused]] const auto Written = ::write(this->Event, &One, sizeof(One));
}

std::optional<std::uint64_t> ResumeQueue::pop() {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  if (this->Ids.empty())
    return std::nullopt; // The descriptor is not readable.
  const std::uint64_t First = this->Ids.front();
  this->Ids.pop_front();
  if (this->Ids.empty()) {
    std::uint64_t Count = 0;
    [[maybe_unused]] const auto Read =
        ::read(this->Event, &Count, sizeof(Count));
  }
  return First;
}

} // namespace siskinstage
