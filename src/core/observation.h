#ifndef SISKINSTAGE_CORE_OBSERVATION_H
#define SISKINSTAGE_CORE_OBSERVATION_H

#include "siskinstage/strong_id.h"
#include "siskinstage/units.h"

#include <cstdint>

namespace siskinstage {

/// What one request or probe showed of a target.
enum class Evidence {
  Success,              ///< A whole answer below 500.
  LateSuccess,          ///< The same, of a request that was overdue before.
  Failure,              ///< An answer of 500 or above, or a broken one.
  Timeout,              ///< No answer in time, and overdue before.
  ShortDeadlineTimeout, ///< The caller's time ended before an answer was
                        ///< overdue.
  Overdue,       ///< Still no answer after much more than the usual time.
  ConnectFailed, ///< The target could not be reached from here.
  Shed,          ///< Refused with a not-run mark; says nothing of health.
  Leaving,       ///< The target said that it takes no new work.
};

const char *evidenceName(Evidence What);

/// One observation, as a handler passes it to the decision thread.
struct Observation {
  ServiceName Service;
  TargetId Target;
  Evidence Kind = Evidence::Success;
  Duration Latency{};
  Instant At;
  bool FromProbe = false;
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_OBSERVATION_H
