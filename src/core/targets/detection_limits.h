#ifndef SISKINSTAGE_CORE_TARGETS_DETECTION_LIMITS_H
#define SISKINSTAGE_CORE_TARGETS_DETECTION_LIMITS_H

#include "siskinstage/service_record.h"

#include <cstddef>
#include <cstdint>

namespace siskinstage {

/// Limits of failure detection.
struct DetectionLimits {
  std::uint32_t ConsecutiveFailures = 0;
  double FailureFraction = 0;
  double SlowFactor = 0;
  /// A request is overdue at the age that this fraction of the requests of a
  /// healthy target reaches.
  double OverdueProbability = 0;
  std::size_t Reporters = 0; ///< Nodes whose reports suffice for an ejection.
  std::size_t Verdicts = 0;  ///< Nodes whose ejections suffice for an ejection.

  static DetectionLimits forPreference(DetectionPreference Preference);
};

/// Usual latency of a service over all of its targets.
struct UsualLatency {
  Duration Median{}; ///< Zero if not known yet.
  Duration High{};   ///< Median of the targets' 90th percentiles.
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_TARGETS_DETECTION_LIMITS_H
