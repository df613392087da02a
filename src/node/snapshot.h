#ifndef SISKINSTAGE_NODE_SNAPSHOT_H
#define SISKINSTAGE_NODE_SNAPSHOT_H

#include "core/cow_map.h"
#include "core/fleet/steering.h"
#include "core/requests/route_table.h"
#include "core/targets/rate_share.h"
#include "core/targets/service_health.h"
#include "siskinstage/account_record.h"
#include "siskinstage/fleet_record.h"
#include "siskinstage/units.h"

#include <memory>
#include <vector>

namespace siskinstage {

class AccountDirectory;
class ServiceGate;
struct TargetGauge;

/// Read-only view of a target for request handlers.
struct TargetView {
  TargetSpec Spec;
  TargetVerdict Verdict;
  std::shared_ptr<TargetGauge> Gauge;
  /// This node sends it trial requests while it is idle.
  bool SendsTrialRequests = false;
  /// This node sends them if the node in charge of them sends none.
  bool IsTrialDeputy = false;
};

/// Read-only view of a service for request handlers.
struct ServiceView {
  ServiceRecord Record;
  std::vector<TargetView> Targets;
  std::shared_ptr<ServiceGate> Gate;
  /// Fleet addresses of the other nodes that serve the service; they receive
  /// updates about its targets.
  std::shared_ptr<const std::vector<Address>> PeerNodes;
  /// All nodes that serve the service; null if this node is the only one.
  std::shared_ptr<const ServingGroup> Group;
  Duration MedianLatency{}; ///< Zero if not known.
  Duration HighLatency{};   ///< 90th percentile, zero if not known.
};

/// Number of requests that \p Target of \p Service runs concurrently: its own
/// capacity, or that of the service's targets if it has none.
std::uint32_t slotsOf(const ServiceView &Service, const TargetView &Target);

using Services = CowMap<ServiceName, std::shared_ptr<const ServiceView>>;
using Accounts = CowMap<AccountName, AccountRecord>;

/// Configuration and target states that request handlers read. Immutable; the
/// decision thread replaces the whole snapshot.
struct Snapshot {
  std::uint64_t Version = 0; ///< Incremented with each snapshot.
  Revision HighestRevision;
  std::size_t RecordCount = 0;
  /// Revision of Settings::RequiredRecord; zero if it is not applied.
  Revision ConfigRevision;
  bool Configured = false; ///< A complete configuration is applied.
  /// Other nodes may compare their records with those of this node.
  bool HasPlatformRecords = false;
  RouteTable Routes;
  Accounts AccountRecords;
  /// Null if the configuration lists no accounts with API keys.
  std::shared_ptr<const AccountDirectory> AccountsByKey;
  Services ServiceViews;
  FleetRecord Fleet;
  std::vector<SteeringNode> LiveNodes;  ///< Including this node.
  std::vector<SteeringNode> EntryNodes; ///< Nodes that callers are steered to.

  /// Whether requests with an API key run only while the configuration is
  /// confirmed, see ConfirmedView: a limit is set, accounts are listed, and the
  /// platform has one record whose reads confirm the configuration.
  [[nodiscard]] bool limitsRevocation() const;
  /// The service, or null if it isn't configured.
  [[nodiscard]] std::shared_ptr<const ServiceView>
  service(const ServiceName &Name) const;
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_SNAPSHOT_H
