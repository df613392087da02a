#ifndef SISKINSTAGE_CORE_TARGET_HEALTH_H
#define SISKINSTAGE_CORE_TARGET_HEALTH_H

#include "core/detection_limits.h"
#include "core/observation.h"
#include "core/peer_report.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace siskinstage {

/// What one node has seen of one target, what others reported of it, and what
/// it concludes.
class TargetHealth {
public:
  enum class State {
    Healthy,
    Ejected,   ///< Wanted out until a time.
    Probation, ///< Back with a share that grows.
  };

  void observe(const Observation &Seen, const DetectionLimits &Limits,
               const UsualLatency &Usual);
  /// Takes in what another node reported.
  void report(const PeerReport &Report, const DetectionLimits &Limits,
              const FailureDomain &OwnDomain);
  /// Begins with a share that grows over \p Length: the target is cold.
  void warmUp(Instant At, Duration Length);
  /// Lets time pass: ejection to probation, probation to healthy.
  void advance(Instant Now);

  [[nodiscard]] State state() const { return this->Now; }
  [[nodiscard]] bool leaving() const { return this->IsLeaving; }
  /// Order in which sick targets are kept in when the floor binds.
  [[nodiscard]] double severity() const;
  /// Share of its usual work that the target may get, above 0 to 1.
  [[nodiscard]] double share(Instant Now) const;
  /// Median of the latest successes, zero if there is none.
  [[nodiscard]] Duration latency() const;
  /// Their ninetieth percentile, zero if there are too few.
  [[nodiscard]] Duration highLatency() const;
  /// Why the target is as it is, for operators.
  [[nodiscard]] const std::string &reason() const { return this->Why; }
  [[nodiscard]] std::uint32_t ejections() const { return this->Ejections; }
  /// The present ejection rests on the reports of several nodes.
  [[nodiscard]] bool byGroup() const { return this->ByGroup; }

  /// What this node has to report: failures since the last success.
  [[nodiscard]] std::uint32_t streak() const { return this->Streak; }
  [[nodiscard]] ReportKind kind() const { return this->Kind; }

private:
  struct Sample {
    Instant At;
    bool Failed = false;
    Duration Latency{};
  };

  State Now = State::Healthy;
  bool IsLeaving = false;
  bool ByGroup = false;
  Instant LeavingSeen;
  std::deque<Sample> Window;
  /// Percentiles of Window's successes, if they are still up to date.
  mutable std::optional<UsualLatency> Percentiles;
  std::uint32_t Streak = 0;
  ReportKind Kind = ReportKind::Failing;
  std::map<Address, PeerReport> Reports;
  std::map<Address, Instant> Verdicts; ///< Who ejected it, and when.
  std::uint32_t Ejections = 0;
  Instant LastEjection;
  Instant Until;
  Duration Ramp{}; ///< Length of the present probation.
  std::string Why = "no failures seen";

  void noteLeaving(const Observation &Seen);
  void note(const Observation &Seen, bool Failed);
  void judge(const Observation &Seen, const DetectionLimits &Limits);
  void takeVerdict(const PeerReport &Report, const DetectionLimits &Limits);
  void judgeReports(Instant At, const DetectionLimits &Limits,
                    const FailureDomain &OwnDomain);
  [[nodiscard]] double failureFraction() const;
  [[nodiscard]] UsualLatency percentiles() const;
  void eject(Instant At, bool Group, std::string Reason);
};

const char *targetStateName(TargetHealth::State Now);

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_TARGET_HEALTH_H
