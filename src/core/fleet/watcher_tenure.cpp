#include "core/fleet/watcher_tenure.h"

#include <algorithm>
#include <utility>

namespace siskinstage {

void WatcherTenure::note(const std::vector<SteeringNode> &Watchers,
                         Instant Now) {
  const auto Before = std::exchange(this->ReadingSince, {});
  for (const SteeringNode &Node : Watchers) {
    if (Node.PlatformUnreachable)
      continue;
    const auto Known = Before.find(Node.Endpoint);
    this->ReadingSince[Node.Endpoint] =
        Known == Before.end() ? Now : Known->second;
  }
}

bool WatcherTenure::hasOtherSince(const Address &Self, Instant Begin) const {
  return std::any_of(this->ReadingSince.begin(), this->ReadingSince.end(),
                     [&](const auto &Entry) {
                       return Entry.first != Self && Entry.second <= Begin;
                     });
}

} // namespace siskinstage
