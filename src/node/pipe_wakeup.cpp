#include "node/pipe_wakeup.h"
#include "node/operators/log.h"

#include <array>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <unistd.h>

namespace siskinstage {

PipeWakeup::PipeWakeup() {
  if (::pipe2(this->Ends, O_NONBLOCK | O_CLOEXEC) == 0)
    return;
  // Threads that wait also have a time limit.
  logEvent(LogLevel::Warn, "cannot create a pipe that wakes threads",
           {{"reason", std::strerror(errno)}});
  this->Ends[0] = this->Ends[1] = -1;
}

PipeWakeup::~PipeWakeup() {
  for (const int End : this->Ends)
    if (End >= 0)
      ::close(End);
}

void PipeWakeup::notify() const {
  const char Byte = 1;
  // A full pipe is readable already, so the failed write is harmless.
  [[maybe_unused]] const auto Written = ::write(this->Ends[1], &Byte, 1);
}

void PipeWakeup::clear() const {
  std::array<char, 256> Bytes{};
  while (::read(this->Ends[0], Bytes.data(), Bytes.size()) ==
         static_cast<ssize_t>(Bytes.size())) {
  }
}

} // namespace siskinstage
