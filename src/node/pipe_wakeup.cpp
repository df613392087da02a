#include "node/pipe_wakeup.h"
#include "node/log.h"

#include <array>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <unistd.h>

namespace siskinstage {

PipeWakeup::PipeWakeup() {
  if (::pipe2(this->Ends, O_NONBLOCK | O_CLOEXEC) == 0)
    return;
  // The thread still looks after each of its short waits.
  logEvent(LogLevel::Warn, "there is no pipe to wake the gossip thread",
           {{"reason", std::strerror(errno)}});
  this->Ends[0] = this->Ends[1] = -1;
}

PipeWakeup::~PipeWakeup() {
  for (const int End : this->Ends)
    if (End >= 0)
      ::close(End);
}

void PipeWakeup::ring() const {
  const char Byte = 1;
  // A full pipe has rung already.
  [[maybe_unused]] const auto Written = ::write(this->Ends[1], &Byte, 1);
}

void PipeWakeup::silence() const {
  std::array<char, 256> Bytes{};
  while (::read(this->Ends[0], Bytes.data(), Bytes.size()) ==
         static_cast<ssize_t>(Bytes.size())) {
  }
}

} // namespace siskinstage
