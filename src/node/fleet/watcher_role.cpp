#include "node/fleet/watcher_role.h"
#include "net/boot_time.h"
#include "node/node_context.h"
#include "siskinstage/config.h"

#include <algorithm>

namespace siskinstage {

std::vector<SteeringNode> selectWatchers(const std::vector<Member> &Live) {
  std::vector<SteeringNode> All;
  std::vector<SteeringNode> Readers;
  for (const Member &Node : Live) {
    All.push_back({Node.Id, Node.Endpoint, Node.Domain, Node.Capacity,
                   Node.PlatformUnreachable});
    // Suspected nodes are left out at once: while there are many, it takes
    // seconds to find out which of them are lost.
    if (!Node.PlatformUnreachable && Node.State == MemberState::Alive)
      Readers.push_back(All.back());
  }
  const std::size_t Count = watcherCount(All.size(), countDomains(All));
  auto Chosen = platformWatchers(std::move(Readers), Count);
  // A node that can't read the platform must keep trying, to notice when it can
  // read it again.
  for (const SteeringNode &Node : platformWatchers(std::move(All), Count))
    if (Node.PlatformUnreachable)
      Chosen.push_back(Node);
  return Chosen;
}

bool isOutageReported(const NodeContext &Context) {
  const auto View = Context.Members.load();
  return std::any_of(
      View->Watchers.begin(), View->Watchers.end(),
      [](const SteeringNode &Node) { return Node.PlatformUnreachable; });
}

bool hearsOtherNodes(const NodeContext &Context) {
  const Instant Received{Duration(Context.LastGossip.load())};
  return bootNow() - Received <= config::GossipSilenceTimeout;
}

std::optional<std::size_t> watcherPosition(const NodeContext &Context) {
  if (!hearsOtherNodes(Context))
    return 0;
  const auto View = Context.Members.load();
  const std::vector<SteeringNode> &Chosen = View->Watchers;
  const auto Own =
      std::find_if(Chosen.begin(), Chosen.end(), [&](const SteeringNode &Node) {
        return Node.Endpoint == Context.NodeSettings.FleetAddress;
      });
  if (Own == Chosen.end())
    return std::nullopt;
  return static_cast<std::size_t>(Own - Chosen.begin());
}

std::optional<std::size_t> watcherRank(const NodeContext &Context) {
  const auto Position = watcherPosition(Context);
  // In a small fleet all watchers read without a delay.
  if (Position &&
      Context.Members.load()->Live.size() <= config::SmallFleetNodes)
    return 0;
  return Position;
}

} // namespace siskinstage
