#ifndef SISKINSTAGE_CORE_SERVICE_HEALTH_H
#define SISKINSTAGE_CORE_SERVICE_HEALTH_H

#include "core/gossip_message.h"
#include "core/target_health.h"
#include "siskinstage/service_record.h"

#include <deque>
#include <map>
#include <set>
#include <vector>

namespace siskinstage {

/// What was decided for one target.
struct TargetVerdict {
  TargetId Id;
  bool Admitted = true;
  bool Leaving = false;
  bool KeptByFloor = false; ///< Sick, but the floor keeps it in.
  bool ByGroup = false;     ///< Ejected on the reports of several nodes.
  double Share = 1.0;       ///< Part of its usual work.
  TargetHealth::State State = TargetHealth::State::Healthy;
  std::string Reason;
  std::uint32_t Ejections = 0;
  bool operator==(const TargetVerdict &) const = default;
};

/// What a node lets count; the last two are kept to compare with.
enum class Detector {
  Group,      ///< Its own evidence and the reports of the group.
  LocalOnly,  ///< Its own evidence alone.
  ProbesOnly, ///< Its probes alone.
};

/// The health of all targets of one service, as this node sees it.
class ServiceHealth {
public:
  /// \param OwnDomain the failure domain of this node.
  explicit ServiceHealth(FailureDomain OwnDomain = {},
                         Detector How = Detector::Group)
      : OwnDomain(std::move(OwnDomain)), How(How) {}

  /// Takes over a new version of the record; targets that stay keep their
  /// history, unless they have started again.
  void configure(const ServiceRecord &Record, Instant Now = {});
  /// Which targets the instance list calls leaving.
  void setListedLeaving(const std::set<Address> &Leaving);
  void observe(const Observation &Seen);
  /// Takes in what another node of the group reported.
  void report(const TargetId &Target, const PeerReport &Report);
  /// Lets time pass and decides, in the record's order of targets.
  std::vector<TargetVerdict> decide(Instant Now);
  /// What changed so that the group should hear of it; nothing while all is
  /// well.
  std::vector<TargetReport> takeReports(Instant Now);
  [[nodiscard]] const UsualLatency &usual() const { return this->Usual; }

private:
  /// One target with its evidence.
  struct Tracked {
    TargetHealth Health;
    Incarnation Process;
    bool ListedLeaving = false;
    std::uint32_t ReportedStreak = 0;
    bool ReportedLeaving = false;
    std::uint32_t ReportedEjections = 0;
    Instant ReportedAt;
  };
  FailureDomain OwnDomain;
  Detector How;
  ServiceRecord Record;
  std::map<TargetId, Tracked> Targets;
  UsualLatency Usual;
  /// The latest successes of all targets, for as long as single targets have
  /// too few of them.
  std::deque<Duration> Pooled;

  void updateUsual();
  [[nodiscard]] UsualLatency pooledUsual() const;
  void observeProbe(TargetHealth &Health, Observation Seen,
                    const DetectionLimits &Limits);
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_SERVICE_HEALTH_H
