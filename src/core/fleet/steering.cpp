#include "core/fleet/steering.h"
#include "siskinstage/config.h"

#include <algorithm>
#include <map>
#include <set>
#include <xxhash.h>

namespace siskinstage {

namespace {

/// Sorts by descending weight for \p Key; each weight is computed once.
void sortByWeight(std::vector<SteeringNode> &Nodes, const std::string &Key) {
  std::vector<std::pair<std::uint64_t, SteeringNode>> Weighted;
  Weighted.reserve(Nodes.size());
  for (SteeringNode &Node : Nodes) {
    const std::uint64_t Weight = rendezvousWeight(Key, Node.Id.str());
    Weighted.emplace_back(Weight, std::move(Node));
  }
  std::sort(Weighted.begin(), Weighted.end(),
            [](const auto &Left, const auto &Right) {
              return Left.first != Right.first
                         ? Left.first > Right.first
                         : Left.second.Id < Right.second.Id;
            });
  for (std::size_t I = 0; I < Nodes.size(); ++I)
    Nodes[I] = std::move(Weighted[I].second);
}

bool isIn(const std::vector<SteeringNode> &Nodes, const SteeringNode &Wanted) {
  return std::any_of(Nodes.begin(), Nodes.end(), [&](const SteeringNode &Node) {
    return Node.Endpoint == Wanted.Endpoint;
  });
}

std::uint32_t largestOf(const std::vector<SteeringNode> &Nodes) {
  std::uint32_t Largest = 0;
  for (const SteeringNode &Node : Nodes)
    Largest = std::max(Largest, Node.Capacity);
  return Largest;
}

/// Moves the instances of large capacity to the front, keeping the order
/// otherwise.
/// \param Largest the largest capacity in the fleet.
/// \returns the number of large instances.
std::size_t largeFirst(std::vector<SteeringNode> &Nodes,
                       std::uint32_t Largest) {
  const auto Others = std::stable_partition(
      Nodes.begin(), Nodes.end(), [&](const SteeringNode &Node) {
        return Node.Capacity * config::LargeCapacityFactor >= Largest;
      });
  return static_cast<std::size_t>(Others - Nodes.begin());
}

/// Number of \p Members, from the first one on, that together have
/// config::MinLargeEntries times the capacity \p Largest; all if they have
/// less.
std::size_t countForCapacity(const std::vector<SteeringNode> &Members,
                             std::uint32_t Largest) {
  const std::uint64_t Needed = std::uint64_t{Largest} * config::MinLargeEntries;
  std::uint64_t Total = 0;
  std::size_t Count = 0;
  while (Count < Members.size() && Total < Needed)
    Total += Members[Count++].Capacity;
  return Count;
}

/// Number of entries of a failure domain.
/// \param Members its nodes in order of preference, large instances first.
/// \param Large   number of large instances among them.
/// \param Largest the largest capacity in the fleet.
std::size_t entryCount(const std::vector<SteeringNode> &Members,
                       std::size_t Large, std::uint32_t Largest,
                       std::size_t PerDomain) {
  std::size_t Usual = std::min(PerDomain, Members.size());
  if (Members.size() > config::LargeDomainNodes)
    Usual =
        std::min(std::max(PerDomain, Members.size() / config::NodesPerEntry),
                 Members.size());
  if (Large >= config::MinLargeEntries)
    return std::min(Usual, Large);
  if (Large == Members.size())
    return Usual;
  return std::max(Usual, countForCapacity(Members, Largest));
}

using ByDomain = std::map<FailureDomain, std::vector<SteeringNode>>;

ByDomain sortedByDomain(const std::vector<SteeringNode> &Nodes,
                        const std::string &Key) {
  ByDomain Domains;
  for (const SteeringNode &Node : Nodes)
    Domains[Node.Domain].push_back(Node);
  for (auto &[Domain, Members] : Domains)
    sortByWeight(Members, Key);
  return Domains;
}

using NodeList = std::vector<const SteeringNode *>;

bool isIn(const NodeList &Nodes, const SteeringNode *Wanted) {
  return std::find(Nodes.begin(), Nodes.end(), Wanted) != Nodes.end();
}

/// The node with the highest weight for \p Key, or null if there is none.
const SteeringNode *highest(const NodeList &Nodes, const std::string &Key) {
  const SteeringNode *Best = nullptr;
  std::uint64_t BestWeight = 0;
  for (const SteeringNode *Node : Nodes) {
    const std::uint64_t Weight = rendezvousWeight(Key, Node->Id.str());
    if (Best == nullptr || Weight > BestWeight) {
      Best = Node;
      BestWeight = Weight;
    }
  }
  return Best;
}

/// The nodes that serve a service, one of which asks.
struct ServingNodes {
  std::map<FailureDomain, NodeList> Domains;
  NodeList All;
  const SteeringNode *Own = nullptr; ///< Null if the asking node serves none.

  ServingNodes(const std::vector<SteeringNode> &Serving, const Address &Self) {
    for (const SteeringNode &Node : Serving) {
      this->Domains[Node.Domain].push_back(&Node);
      this->All.push_back(&Node);
      if (Node.Endpoint == Self)
        this->Own = &Node;
    }
  }

  /// Those in \p Domain, or all if it has none.
  [[nodiscard]] const NodeList &near(const FailureDomain &Domain) const {
    const auto Found = this->Domains.find(Domain);
    return Found == this->Domains.end() ? this->All : Found->second;
  }
  /// Those of another domain than \p InCharge, of the one with the highest
  /// weight for \p Key; those of its domain if there is no other.
  [[nodiscard]] NodeList deputies(const SteeringNode &InCharge,
                                  const std::string &Key) const {
    const NodeList *Best = nullptr;
    std::uint64_t BestWeight = 0;
    for (const auto &[Domain, Nodes] : this->Domains) {
      const std::uint64_t Weight = rendezvousWeight(Key, Domain.str());
      if (Domain == InCharge.Domain ||
          (Best != nullptr && Weight <= BestWeight))
        continue;
      Best = &Nodes;
      BestWeight = Weight;
    }
    if (Best != nullptr)
      return *Best;
    NodeList Rest = this->near(InCharge.Domain);
    std::erase(Rest, &InCharge);
    return Rest;
  }
};

} // namespace

std::uint64_t rendezvousWeight(const std::string &Key,
                               const std::string &Node) {
  const std::uint64_t Seed = XXH3_64bits(Key.data(), Key.size());
  return XXH3_64bits_withSeed(Node.data(), Node.size(), Seed);
}

std::size_t groupNodesPerDomain(std::size_t Slots, std::size_t Domains) {
  const std::size_t SlotsPerRound =
      std::max<std::size_t>(Domains, 1) * config::SlotsPerGroupNode;
  return std::max<std::size_t>(1, (Slots + SlotsPerRound - 1) / SlotsPerRound);
}

std::size_t countDomains(const std::vector<SteeringNode> &Nodes) {
  std::set<FailureDomain> Domains;
  for (const SteeringNode &Node : Nodes)
    Domains.insert(Node.Domain);
  return Domains.size();
}

std::vector<SteeringNode> serviceGroup(const std::vector<SteeringNode> &Nodes,
                                       const ServiceName &Service,
                                       std::size_t PerDomain) {
  std::vector<SteeringNode> Group;
  for (auto &[Domain, Members] : sortedByDomain(Nodes, Service.str())) {
    const std::size_t Taken = std::min(PerDomain, Members.size());
    Group.insert(Group.end(), Members.begin(),
                 Members.begin() + static_cast<std::ptrdiff_t>(Taken));
  }
  return Group;
}

std::vector<SteeringNode> domainEntries(const std::vector<SteeringNode> &Nodes,
                                        std::size_t PerDomain) {
  std::vector<SteeringNode> Entries;
  const std::uint32_t Largest = largestOf(Nodes);
  for (auto &[Domain, Members] :
       sortedByDomain(Nodes, "entries of a failure domain")) {
    const std::size_t Large = largeFirst(Members, Largest);
    const std::size_t Taken = entryCount(Members, Large, Largest, PerDomain);
    Entries.insert(Entries.end(), Members.begin(),
                   Members.begin() + static_cast<std::ptrdiff_t>(Taken));
  }
  return Entries;
}

std::vector<SteeringNode> platformWatchers(std::vector<SteeringNode> Nodes,
                                           std::size_t Count) {
  sortByWeight(Nodes, "platform watchers");
  largeFirst(Nodes, largestOf(Nodes));
  std::map<FailureDomain, std::size_t> ChosenPerDomain;
  std::vector<SteeringNode> Chosen;
  // One node of each failure domain per round.
  for (std::size_t Round = 1; Chosen.size() < std::min(Count, Nodes.size());
       ++Round)
    for (const SteeringNode &Node : Nodes) {
      std::size_t &Taken = ChosenPerDomain[Node.Domain];
      if (Chosen.size() < Count && Taken + 1 == Round && !isIn(Chosen, Node)) {
        Chosen.push_back(Node);
        ++Taken;
      }
    }
  return Chosen;
}

std::size_t watcherCount(std::size_t Nodes, std::size_t Domains) {
  if (Nodes <= config::SmallFleetNodes)
    return config::WatchersPerDomain * Domains;
  return std::max(config::MinWatchers, Domains);
}

std::vector<bool> trialAssignments(const std::vector<SteeringNode> &Serving,
                                   const Address &Self,
                                   const std::vector<TargetSpec> &Targets) {
  const ServingNodes Nodes(Serving, Self);
  std::vector<bool> Assigned(Targets.size(), false);
  if (Nodes.Own == nullptr)
    return Assigned;
  for (std::size_t I = 0; I < Targets.size(); ++I) {
    const auto &Candidates = Nodes.near(Targets[I].Domain);
    Assigned[I] = isIn(Candidates, Nodes.Own) &&
                  highest(Candidates, Targets[I].Id.str()) == Nodes.Own;
  }
  return Assigned;
}

std::vector<bool> deputyAssignments(const std::vector<SteeringNode> &Serving,
                                    const Address &Self,
                                    const std::vector<TargetSpec> &Targets) {
  const ServingNodes Nodes(Serving, Self);
  std::vector<bool> Assigned(Targets.size(), false);
  if (Nodes.Own == nullptr)
    return Assigned;
  for (std::size_t I = 0; I < Targets.size(); ++I) {
    const std::string &Key = Targets[I].Id.str();
    const SteeringNode *InCharge = highest(Nodes.near(Targets[I].Domain), Key);
    const auto Candidates = Nodes.deputies(*InCharge, Key);
    Assigned[I] =
        isIn(Candidates, Nodes.Own) && highest(Candidates, Key) == Nodes.Own;
  }
  return Assigned;
}

std::vector<SteeringNode> accountEntries(const std::vector<SteeringNode> &Group,
                                         const AccountName &Account,
                                         std::size_t Count) {
  const std::string Key = "account " + Account.str();
  const ByDomain Domains = sortedByDomain(Group, Key);
  std::vector<SteeringNode> Entries;
  // One node of each failure domain per round, so that no domain has two before
  // each has one.
  for (std::size_t Rank = 0; Entries.size() < std::min(Count, Group.size());
       ++Rank) {
    std::vector<SteeringNode> Round;
    for (const auto &[Domain, Members] : Domains)
      if (Rank < Members.size())
        Round.push_back(Members[Rank]);
    sortByWeight(Round, Key);
    Entries.insert(Entries.end(), Round.begin(), Round.end());
  }
  Entries.resize(std::min(Count, Entries.size()));
  return Entries;
}

bool sameNodes(const std::vector<SteeringNode> &Left,
               const std::vector<SteeringNode> &Right) {
  return std::equal(Left.begin(), Left.end(), Right.begin(), Right.end(),
                    [](const SteeringNode &L, const SteeringNode &R) {
                      return L.Endpoint == R.Endpoint;
                    });
}

} // namespace siskinstage
