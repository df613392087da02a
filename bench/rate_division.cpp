/// Compares ways to divide the rate limit of a target among nodes, by replays
/// on a virtual clock; prints one JSON object for each way, number of nodes and
/// limit.
#include "unit/rate_limit_replay.h"

#include <algorithm>
#include <cstdio>
#include <string>
#include <utility>
#include <vector>

namespace {

using namespace siskinstage;
using namespace siskinstage::replay;

constexpr std::uint64_t Seeds = 5;

/// A share with room for one request, and the node's turn while nothing is
/// heard.
RateShare shareOf(double PerSecond, const ServingGroup &Group) {
  const auto Own = std::find_if(
      Group.Nodes.begin(), Group.Nodes.end(),
      [&](const SteeringNode &Node) { return Node.Endpoint == Group.Self; });
  return {PerSecond, 1, static_cast<std::uint32_t>(Own - Group.Nodes.begin()),
          static_cast<std::uint32_t>(Group.Nodes.size())};
}

/// The same share for each node.
RateShare equalShare(double Limit, const ServingGroup &Group,
                     const TargetSpec & /*Target*/,
                     const Address & /*Holder*/) {
  return shareOf(Limit / static_cast<double>(Group.Nodes.size()), Group);
}

/// Shares that follow the demand of each node, which is known at once: the
/// nodes in domains with callers have the same.
Division demandShares(const RateLimitLoad &Load) {
  return [Load](double Limit, const ServingGroup &Group,
                const TargetSpec & /*Target*/,
                const Address & /*Holder*/) -> RateShare {
    const auto HasCallers = [&](const SteeringNode &Node) {
      return std::stoi(Node.Domain.str().substr(1)) < Load.DomainsWithCallers;
    };
    const auto Busy =
        std::count_if(Group.Nodes.begin(), Group.Nodes.end(), HasCallers);
    for (const SteeringNode &Node : Group.Nodes)
      if (Node.Endpoint == Group.Self && HasCallers(Node))
        return shareOf(Limit / static_cast<double>(Busy), Group);
    return shareOf(0, Group);
  };
}

void compare(const char *Way, const RateLimitLoad &Load,
             const Division &Divide) {
  double WorstOfAllowed = 0;
  double Use = 1e9;
  double Pause = 0;
  int Messages = 0;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    RateLimitLoad Seeded = Load;
    Seeded.Seed = Seed;
    const RateLimitResult Result = RateLimitReplay(Seeded, Divide).run();
    WorstOfAllowed =
        std::max(WorstOfAllowed, static_cast<double>(Result.WorstWindow) /
                                     static_cast<double>(Result.Allowed));
    Use = std::min(Use, Result.Use);
    Pause = std::max(Pause, Result.LongestPause);
    Messages = std::max(Messages, Result.Messages);
  }
  std::printf("{\"way\":\"%s\",\"nodes\":%d,\"limit\":%g,\"domains\":%d,"
              "\"slots\":%.1f,\"window\":%.3f,\"use\":%.3f,\"pause\":%.2f,"
              "\"messages\":%d}\n",
              Way, Load.Nodes, Load.Limit, Load.DomainsWithCallers,
              Load.SlotFactor, WorstOfAllowed, Use, Pause, Messages);
}

} // namespace

int main() {
  for (const auto &[Domains, SlotFactor] :
       {std::pair{4, 2.0}, std::pair{4, 0.9}, std::pair{2, 0.9}})
    for (const int Nodes : {8, 24, 60, 160})
      for (const double Limit : {0.2, 1.0, 5.0, 20.0, 200.0}) {
        RateLimitLoad Load;
        Load.Nodes = Nodes;
        Load.Limit = Limit;
        // The limited target is in the last domain.
        Load.LimitedDomain = 3;
        Load.DomainsWithCallers = Domains;
        Load.SlotFactor = SlotFactor;
        Load.RequestsPerNode =
            std::max(6.0, 3 * Limit / Nodes * Load.Targets / 2);
        compare("equal", Load, equalShare);
        compare("by demand", Load, demandShares(Load));
        compare("in charge", Load, {});
      }
}
