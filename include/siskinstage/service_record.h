#ifndef SISKINSTAGE_SERVICE_RECORD_H
#define SISKINSTAGE_SERVICE_RECORD_H

#include "siskinstage/config.h"
#include "siskinstage/strong_id.h"
#include "siskinstage/units.h"

#include <vector>

namespace siskinstage {

/// Trade-off of failure detection: fast ejection of faulty targets, or few
/// ejections of healthy ones.
enum class DetectionPreference { Fast, Careful };

/// How a node chooses a target of a service.
enum class RoutingPolicy {
  Random,
  RoundRobin,
  LeastInFlight,
  TwoChoices,
  DomainFirst
};

/// A target and its properties.
struct TargetSpec {
  TargetId Id;
  Address Endpoint;
  FailureDomain Domain;
  Slots Capacity{0};     ///< Zero for ServiceRecord::SlotsPerTarget.
  bool Leaving = false;  ///< Accepts no new requests.
  Millis Warmup{};       ///< Time for which it remains slow after its start.
  Incarnation Process{}; ///< Changes when the target restarts.
  bool operator==(const TargetSpec &) const = default;
};

/// A service: its targets, and how requests to them are handled.
struct ServiceRecord {
  ServiceName Name;
  std::vector<TargetSpec> Targets;
  Slots SlotsPerTarget{3};
  /// Ejections leave at least this fraction of the listed capacity admitted,
  /// 0 to 1.
  double Floor = 0.5;
  DetectionPreference Detection = DetectionPreference::Careful;
  RoutingPolicy Policy = RoutingPolicy::TwoChoices;
  Millis Deadline = config::DefaultDeadline;
  /// A response without the request's id is rejected.
  bool RequireEcho = false;
  /// Path of the targets' health check.
  std::string HealthPath = "/healthz";
};

} // namespace siskinstage

#endif // SISKINSTAGE_SERVICE_RECORD_H
