#ifndef SISKINSTAGE_CORE_TARGETS_SERVICE_HEALTH_H
#define SISKINSTAGE_CORE_TARGETS_SERVICE_HEALTH_H

#include "core/fleet/gossip_message.h"
#include "core/targets/target_health.h"
#include "siskinstage/service_record.h"

#include <deque>
#include <map>
#include <set>
#include <vector>

namespace siskinstage {

/// Decision on one target.
struct TargetVerdict {
  TargetId Id;
  bool Admitted = true;
  bool Leaving = false;
  bool KeptByFloor = false; ///< To be ejected, but kept admitted by the floor.
  bool ByGroup = false;     ///< Ejected on the reports of several nodes.
  double Share = 1.0;       ///< Fraction of its usual load.
  TargetHealth::State State = TargetHealth::State::Healthy;
  std::string Reason;
  std::uint32_t Ejections = 0;
  bool operator==(const TargetVerdict &) const = default;
};

/// Evidence that a node uses. LocalOnly and ProbesOnly are baselines for
/// experiments.
enum class Detector {
  Group,      ///< Own evidence and reports of the group.
  LocalOnly,  ///< Own evidence only.
  ProbesOnly, ///< Own probes only.
};

/// The health of all targets of one service, as this node sees it.
class ServiceHealth {
public:
  /// \param OwnDomain the failure domain of this node.
  explicit ServiceHealth(FailureDomain OwnDomain = {},
                         Detector Mode = Detector::Group)
      : OwnDomain(std::move(OwnDomain)), Mode(Mode) {}

  /// Applies a new version of the record. Targets that remain keep their
  /// history, unless they have restarted.
  void configure(const ServiceRecord &New, Instant Now = {});
  /// Sets the addresses of the targets that the instance list reports as
  /// leaving.
  void setListedLeaving(const std::set<Address> &Leaving);
  /// Adds an observation of this node.
  void observe(const Observation &Observed);
  /// Adds a report of another node of the group.
  void report(const TargetId &Target, const PeerReport &Report);
  /// Advances to \p Now and decides on all targets.
  /// \returns the verdicts in the record's order of targets.
  std::vector<TargetVerdict> decide(Instant Now);
  /// Returns the changes that must be reported to the group, and marks them as
  /// reported; none while all targets are healthy.
  std::vector<TargetReport> takeReports(Instant Now);
  [[nodiscard]] const UsualLatency &usualLatency() const { return this->Usual; }

private:
  /// A target, and what this node last reported on it.
  struct TrackedTarget {
    TargetHealth Health;
    Incarnation Process;
    bool ListedLeaving = false;
    std::uint32_t ReportedStreak = 0;
    bool ReportedLeaving = false;
    std::uint32_t ReportedEjections = 0;
    Instant ReportedAt;
  };
  FailureDomain OwnDomain;
  Detector Mode;
  ServiceRecord Record;
  std::map<TargetId, TrackedTarget> Targets;
  UsualLatency Usual;
  /// Latencies of the latest successes of all targets; used while too few
  /// targets have enough successes of their own.
  std::deque<Duration> Pooled;

  void updateUsualLatency();
  [[nodiscard]] UsualLatency pooledLatency() const;
  void observeProbe(TargetHealth &Health, Observation Observed,
                    const DetectionLimits &Limits);
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_TARGETS_SERVICE_HEALTH_H
