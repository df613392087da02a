#include "node/watcher_role.h"
#include "core/steering.h"
#include "net/boot_time.h"
#include "node/node_context.h"
#include "siskinstage/config.h"

#include <algorithm>

namespace siskinstage {

namespace {

constexpr const char *WatcherKey = "platform watchers";

} // namespace

bool watchesPlatform(const NodeContext &Context) {
  const Instant Heard{Duration(Context.LastGossip.load())};
  if (bootNow() - Heard > config::GossipSilence)
    return true;
  std::vector<SteeringNode> Own;
  for (const Member &Each : Context.Members.load()->Live)
    if (Each.Domain == Context.Set.Domain)
      Own.push_back({Each.Id, Each.Where, Each.Domain});
  const auto Chosen =
      serviceGroup(Own, ServiceName(WatcherKey), config::WatchersPerDomain);
  return std::any_of(Chosen.begin(), Chosen.end(),
                     [&](const SteeringNode &Node) {
                       return Node.Where == Context.Set.FleetAddress;
                     });
}

} // namespace siskinstage
