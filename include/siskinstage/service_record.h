#ifndef SISKINSTAGE_SERVICE_RECORD_H
#define SISKINSTAGE_SERVICE_RECORD_H

#include "siskinstage/config.h"
#include "siskinstage/strong_id.h"
#include "siskinstage/units.h"

#include <vector>

namespace siskinstage {

/// What a service would rather have: sick targets found soon, or healthy
/// targets never taken out.
enum class DetectionPreference { Fast, Careful };

/// How a node chooses among the targets of a service.
enum class RoutingPolicy {
  Random,
  RoundRobin,
  LeastInFlight,
  TwoChoices,
  DomainFirst
};

/// One target as a service record lists it.
struct TargetSpec {
  TargetId Id;
  Address Endpoint;
  FailureDomain Domain;
  Slots Capacity{0};     ///< Zero for the service's slots per target.
  bool Leaving = false;  ///< Takes no new work.
  Millis Warmup{};       ///< How long it stays slow after its start.
  Incarnation Process{}; ///< Changes when the target starts again.
  bool operator==(const TargetSpec &) const = default;
};

/// Which targets serve a service, and under what limits.
struct ServiceRecord {
  ServiceName Name;
  std::vector<TargetSpec> Targets;
  Slots SlotsPerTarget{3};
  /// Share of the listed capacity that ejections never go below, 0 to 1.
  double Floor = 0.5;
  DetectionPreference Detection = DetectionPreference::Careful;
  RoutingPolicy Policy = RoutingPolicy::TwoChoices;
  Millis Deadline = config::DefaultDeadline;
  /// An answer without the request's id is refused.
  bool RequireEcho = false;
  /// Where the target answers probes of its health.
  std::string HealthPath = "/healthz";
};

} // namespace siskinstage

#endif // SISKINSTAGE_SERVICE_RECORD_H
