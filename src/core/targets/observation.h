#ifndef SISKINSTAGE_CORE_TARGETS_OBSERVATION_H
#define SISKINSTAGE_CORE_TARGETS_OBSERVATION_H

#include "siskinstage/strong_id.h"
#include "siskinstage/units.h"

#include <cstdint>

namespace siskinstage {

/// Result of one request or probe, as evidence of a target's health.
enum class Evidence {
  Success,     ///< A complete response with a status below 500.
  LateSuccess, ///< The same for a request that was overdue before.
  Failure,     ///< A status of 500 or above, or an incomplete response.
  Timeout,     ///< No response in time; the request was overdue before.
  ShortDeadlineTimeout, ///< The caller's deadline passed before the request was
                        ///< overdue.
  Overdue,       ///< No response yet after much more than the usual latency.
  ConnectFailed, ///< The target is unreachable from this node.
  Shed,          ///< Rejected without being executed; no evidence of health.
  Leaving,       ///< The target announced that it accepts no new requests.
};

/// Name of \p Kind for operators.
const char *evidenceName(Evidence Kind);

/// An observation of a request handler or the prober, for the decision thread.
struct Observation {
  ServiceName Service;
  TargetId Target;
  Evidence Kind = Evidence::Success;
  Duration Latency{};
  Instant At;
  bool FromProbe = false;
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_TARGETS_OBSERVATION_H
