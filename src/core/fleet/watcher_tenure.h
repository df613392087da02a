#ifndef SISKINSTAGE_CORE_FLEET_WATCHER_TENURE_H
#define SISKINSTAGE_CORE_FLEET_WATCHER_TENURE_H

#include "core/fleet/steering.h"
#include "siskinstage/units.h"

#include <map>
#include <vector>

namespace siskinstage {

/// Since when other nodes read the platform, as this node sees it. The load: a
/// node takes over just after an outage that the nodes which read the platform
/// all the time have not noticed yet. Not thread-safe.
class WatcherTenure {
public:
  /// Notes the watchers, see selectWatchers(), at \p Now.
  void note(const std::vector<SteeringNode> &Watchers, Instant Now);
  /// Whether a node other than \p Self has read the platform since \p Begin.
  [[nodiscard]] bool hasOtherSince(const Address &Self, Instant Begin) const;

private:
  std::map<Address, Instant> ReadingSince;
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_FLEET_WATCHER_TENURE_H
