#ifndef SISKINSTAGE_CORE_SERVICE_HEALTH_H
#define SISKINSTAGE_CORE_SERVICE_HEALTH_H

#include "core/target_health.h"
#include "siskinstage/service_record.h"

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
  double Share = 1.0;       ///< Part of its usual work.
  TargetHealth::State State = TargetHealth::State::Healthy;
  std::string Reason;
  std::uint32_t Ejections = 0;
  bool operator==(const TargetVerdict &) const = default;
};

/// The health of all targets of one service, as this node sees it.
class ServiceHealth {
public:
  /// Takes over a new version of the record; targets that stay keep their
  /// history.
  void configure(const ServiceRecord &Record);
  /// Which targets the instance list calls leaving.
  void setListedLeaving(const std::set<Address> &Leaving);
  void observe(const Observation &Seen);
  /// Lets time pass and decides, in the record's order of targets.
  std::vector<TargetVerdict> decide(Instant Now);
  /// Median of the targets' median latencies, zero if not known.
  [[nodiscard]] Duration typicalLatency() const;

private:
  /// One target with its evidence.
  struct Tracked {
    TargetHealth Health;
    bool ListedLeaving = false;
  };
  ServiceRecord Record;
  std::map<TargetId, Tracked> Targets;
  Duration Typical{};
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_SERVICE_HEALTH_H
