#ifndef SISKINSTAGE_CORE_TARGETS_TARGET_HEALTH_H
#define SISKINSTAGE_CORE_TARGETS_TARGET_HEALTH_H

#include "core/fleet/peer_report.h"
#include "core/targets/detection_limits.h"
#include "core/targets/observation.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace siskinstage {

/// Health of one target at one node, from the node's own observations and the
/// reports of other nodes.
class TargetHealth {
public:
  enum class State {
    Healthy,
    Ejected,   ///< To be ejected until its ejection time has passed.
    Probation, ///< Admitted with a growing share of its load.
  };

  /// Adds an observation of this node.
  void observe(const Observation &Observed, const DetectionLimits &Limits,
               const UsualLatency &Usual);
  /// Adds a report of another node.
  void report(const PeerReport &Report, const DetectionLimits &Limits,
              const FailureDomain &OwnDomain);
  /// Starts a probation of \p Length, as the target has just started.
  void warmUp(Instant At, Duration Length);
  /// Applies the transitions that are due at \p Now: from ejection to probation
  /// and from probation to healthy.
  void advance(Instant Now);

  [[nodiscard]] State state() const { return this->Current; }
  [[nodiscard]] bool leaving() const { return this->IsLeaving; }
  /// Severity of the failures; where the floor prevents ejections, the targets
  /// with the lowest severity stay admitted.
  [[nodiscard]] double severity() const;
  /// Fraction of its usual load that the target may get, above 0 and up to 1.
  [[nodiscard]] double share(Instant Now) const;
  /// Median latency of the latest successes, or zero if there is none.
  [[nodiscard]] Duration latency() const;
  /// 90th percentile of the same latencies, or zero if there are too few.
  [[nodiscard]] Duration highLatency() const;
  /// Reason of the current state, for operators.
  [[nodiscard]] const std::string &reason() const { return this->StateReason; }
  [[nodiscard]] std::uint32_t ejections() const { return this->Ejections; }
  /// Whether the current ejection is based on the reports of several nodes.
  [[nodiscard]] bool byGroup() const { return this->ByGroup; }

  /// Number of failures since the last success, for reports to the group.
  [[nodiscard]] std::uint32_t streak() const { return this->Streak; }
  /// Kind of these failures, for reports to the group.
  [[nodiscard]] ReportKind kind() const { return this->Kind; }

private:
  struct Sample {
    Instant At;
    bool Failed = false;
    Duration Latency{};
    bool Overdue = false; ///< No response so far.
  };

  State Current = State::Healthy;
  bool IsLeaving = false;
  bool ByGroup = false;
  Instant LastLeaving;
  std::deque<Sample> Window;
  /// Cached percentiles of the successes in Window; none if out of date.
  mutable std::optional<UsualLatency> Percentiles;
  std::uint32_t Streak = 0;
  ReportKind Kind = ReportKind::Failing;
  std::map<Address, PeerReport> Reports;
  std::map<Address, Instant> Verdicts; ///< Latest ejection by each node.
  std::uint32_t Ejections = 0;
  Instant LastEjection;
  Instant StateEnd;
  Duration Ramp{}; ///< Duration of the current probation.
  std::string StateReason = "no failures seen";

  void updateLeaving(const Observation &Observed);
  void addSample(const Observation &Observed, bool Failed);
  /// Removes the sample of one overdue request, which got a response.
  void removeOverdueSample();
  void evaluate(const Observation &Observed, const DetectionLimits &Limits);
  void addVerdict(const PeerReport &Report, const DetectionLimits &Limits);
  void evaluateReports(Instant At, const DetectionLimits &Limits,
                       const FailureDomain &OwnDomain);
  [[nodiscard]] double failureFraction() const;
  [[nodiscard]] UsualLatency percentiles() const;
  void eject(Instant At, bool Group, std::string Reason);
};

/// Name of \p State for operators.
const char *targetStateName(TargetHealth::State State);

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_TARGETS_TARGET_HEALTH_H
