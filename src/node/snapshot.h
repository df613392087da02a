#ifndef SISKINSTAGE_NODE_SNAPSHOT_H
#define SISKINSTAGE_NODE_SNAPSHOT_H

#include "core/cow_map.h"
#include "core/route_table.h"
#include "core/service_health.h"
#include "core/steering.h"
#include "siskinstage/account_record.h"
#include "siskinstage/fleet_record.h"
#include "siskinstage/units.h"

#include <memory>
#include <vector>

namespace siskinstage {

class ServiceGate;
struct TargetGauge;

/// One target of a service as handlers see it.
struct TargetView {
  TargetSpec Spec;
  TargetVerdict Verdict;
  std::shared_ptr<TargetGauge> Gauge;
  bool SendsTrialRequests = false; ///< This node tries it when it is idle.
};

/// One service as handlers see it.
struct ServiceView {
  ServiceRecord Record;
  std::vector<TargetView> Targets;
  std::shared_ptr<ServiceGate> Gate;
  /// The other nodes that serve it and hear of its targets.
  std::shared_ptr<const std::vector<Address>> PeerNodes;
  Duration MedianLatency{}; ///< Usual latency, zero if not known.
  Duration HighLatency{};   ///< Usual high latency, zero if not known.
};

/// Requests that \p Target of \p Service works on at once.
std::uint32_t slotsOf(const ServiceView &Service, const TargetView &Target);

using Services = CowMap<ServiceName, std::shared_ptr<const ServiceView>>;
using Accounts = CowMap<AccountName, AccountRecord>;

/// Everything that handlers read. It never changes; the decision thread swaps
/// in a new one.
struct Snapshot {
  std::uint64_t Version = 0;
  Revision HighestRevision;
  std::size_t RecordCount = 0;
  bool Configured = false; ///< A whole configuration has been read.
  RouteTable Routes;
  Accounts AccountRecords;
  Services ServiceViews;
  FleetRecord Fleet;
  std::vector<SteeringNode> LiveNodes;  ///< Live entry instances.
  std::vector<SteeringNode> EntryNodes; ///< Those that callers are steered to.

  /// The service, or null.
  [[nodiscard]] std::shared_ptr<const ServiceView>
  service(const ServiceName &Name) const;
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_SNAPSHOT_H
