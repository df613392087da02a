#ifndef SISKINSTAGE_CORE_DETECTION_LIMITS_H
#define SISKINSTAGE_CORE_DETECTION_LIMITS_H

#include "siskinstage/service_record.h"

#include <cstddef>
#include <cstdint>

namespace siskinstage {

/// Limits that a detection preference stands for.
struct DetectionLimits {
  std::uint32_t ConsecutiveFailures = 0;
  double FailureFraction = 0;
  double SlowFactor = 0;
  /// A request is overdue at the age that this part of them reach at a sound
  /// target.
  double OverdueProbability = 0;
  std::size_t Reporters = 0; ///< Nodes whose reports suffice together.
  std::size_t Verdicts = 0;  ///< Nodes whose ejections suffice together.

  static DetectionLimits forPreference(DetectionPreference Preference);
};

/// What is usual at a service, from all of its targets.
struct UsualLatency {
  Duration Median{}; ///< Zero if not yet known.
  Duration High{};   ///< Median of the targets' ninetieth percentiles.
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_DETECTION_LIMITS_H
