#ifndef SISKINSTAGE_CORE_TARGET_HEALTH_H
#define SISKINSTAGE_CORE_TARGET_HEALTH_H

#include "core/observation.h"
#include "siskinstage/service_record.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

namespace siskinstage {

/// Limits that a detection preference stands for.
struct DetectionLimits {
  int ConsecutiveFailures = 0;
  double FailureFraction = 0;
  double SlowFactor = 0;

  static DetectionLimits of(DetectionPreference Preference);
};

/// What one node has seen of one target, and what it concludes.
class TargetHealth {
public:
  enum class State {
    Healthy,
    Ejected,   ///< Wanted out until a time.
    Probation, ///< Back with a share that grows.
  };

  /// \param Typical the service's usual latency, zero if not yet known.
  void observe(const Observation &Seen, const DetectionLimits &Limits,
               Duration Typical);
  /// Lets time pass: ejection to probation, probation to healthy.
  void advance(Instant Now);

  [[nodiscard]] State state() const { return this->Now; }
  [[nodiscard]] bool leaving() const { return this->IsLeaving; }
  /// Order in which sick targets are kept in when the floor binds.
  [[nodiscard]] double sickness() const;
  /// Share of its usual work that the target may get, above 0 to 1.
  [[nodiscard]] double share(Instant Now) const;
  /// Median of the latest successes, zero if there is none.
  [[nodiscard]] Duration latency() const;
  /// Why the target is as it is, for operators.
  [[nodiscard]] const std::string &reason() const { return this->Why; }
  [[nodiscard]] Instant until() const { return this->Until; }
  [[nodiscard]] std::uint32_t ejections() const { return this->Ejections; }

private:
  struct Sample {
    Instant At;
    bool Failed = false;
    Duration Latency{};
  };

  State Now = State::Healthy;
  bool IsLeaving = false;
  Instant LeavingSeen;
  std::deque<Sample> Window;
  /// The median of Window's successes, if it is still up to date.
  mutable std::optional<Duration> Median;
  int Consecutive = 0;
  std::uint32_t Ejections = 0;
  Instant LastEjection;
  Instant Until;
  std::string Why = "no failures seen";

  [[nodiscard]] double failureFraction() const;
  [[nodiscard]] bool isSlow(const DetectionLimits &Limits,
                            Duration Typical) const;
  void noteLeaving(const Observation &Seen);
  void judge(const Observation &Seen, const DetectionLimits &Limits,
             Duration Typical);
  void eject(Instant At, std::string Reason);
};

const char *targetStateName(TargetHealth::State Now);

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_TARGET_HEALTH_H
