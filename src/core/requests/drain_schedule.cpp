#include "core/requests/drain_schedule.h"
#include "siskinstage/config.h"

#include <algorithm>

namespace siskinstage {

DrainSchedule DrainSchedule::starting(Instant Now, Duration Limit) {
  return {Now + std::min<Duration>(config::DrainServeTime, Limit / 2),
          Now + Limit};
}

Instant DrainSchedule::sendLimit(Instant Deadline) const {
  const bool EndsBeforeExit = Deadline + config::DrainExitMargin <= this->Exit;
  return EndsBeforeExit ? Deadline : std::min(Deadline, this->LastSend);
}

} // namespace siskinstage
