#include "node/watcher_role.h"
#include "net/boot_time.h"
#include "node/node_context.h"
#include "siskinstage/config.h"

#include <algorithm>

namespace siskinstage {

std::vector<SteeringNode> selectWatchers(const std::vector<Member> &Live) {
  std::vector<SteeringNode> All;
  std::vector<SteeringNode> Seeing;
  for (const Member &Each : Live) {
    All.push_back(
        {Each.Id, Each.Where, Each.Domain, Each.Capacity, Each.Blind});
    // Whether a suspect is lost takes seconds to settle where many are.
    if (!Each.Blind && Each.State == MemberState::Alive)
      Seeing.push_back(All.back());
  }
  const std::size_t Count = watchersFor(All.size(), countDomains(All));
  auto Chosen = platformWatchers(std::move(Seeing), Count);
  // A node that is blind finds out by trying whether it still is.
  for (const SteeringNode &Each : platformWatchers(std::move(All), Count))
    if (Each.Blind)
      Chosen.push_back(Each);
  return Chosen;
}

std::optional<std::size_t> watcherRank(const NodeContext &Context) {
  const Instant Heard{Duration(Context.LastGossip.load())};
  if (bootNow() - Heard > config::GossipSilence)
    return 0;
  const auto View = Context.Members.load();
  const std::vector<SteeringNode> &Chosen = View->Watchers;
  const auto Own =
      std::find_if(Chosen.begin(), Chosen.end(), [&](const SteeringNode &Each) {
        return Each.Where == Context.NodeSettings.FleetAddress;
      });
  if (Own == Chosen.end())
    return std::nullopt;
  // The watchers of a small fleet all read at once.
  if (View->Live.size() <= config::SmallFleetNodes)
    return 0;
  return static_cast<std::size_t>(Own - Chosen.begin());
}

} // namespace siskinstage
