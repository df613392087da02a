#include "core/requests/drain_schedule.h"
#include "siskinstage/config.h"

#include <algorithm>

namespace siskinstage {

DrainSchedule DrainSchedule::starting(Instant Now, Duration Limit) {
  const auto AnswerTime = std::min<Duration>(
      config::DrainExitMargin,
      std::chrono::duration_cast<Duration>(Limit * config::DrainExitFraction));
  return {Now + std::min<Duration>(config::DrainServeTime, Limit / 2),
          Now + Limit - AnswerTime, Now + Limit};
}

Instant DrainSchedule::sendLimit(Instant Deadline) const {
  const bool EndsBeforeExit = Deadline <= this->LastAnswer;
  return EndsBeforeExit ? Deadline : std::min(Deadline, this->LastSend);
}

Instant DrainSchedule::waitLimit(Instant Deadline) const {
  return std::min(Deadline, this->LastAnswer);
}

} // namespace siskinstage
