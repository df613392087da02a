#include "core/steering.h"
#include "siskinstage/config.h"

#include <algorithm>
#include <map>
#include <set>
#include <xxhash.h>

namespace siskinstage {

namespace {

void sortByWeight(std::vector<SteeringNode> &Nodes, const std::string &Key) {
  std::sort(Nodes.begin(), Nodes.end(),
            [&](const SteeringNode &Left, const SteeringNode &Right) {
              const auto L = rendezvousWeight(Key, Left.Id.str());
              const auto R = rendezvousWeight(Key, Right.Id.str());
              return L != R ? L > R : Left.Id < Right.Id;
            });
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

} // namespace

std::uint64_t rendezvousWeight(const std::string &Key,
                               const std::string &Node) {
  const std::uint64_t Seed = XXH3_64bits(Key.data(), Key.size());
  return XXH3_64bits_withSeed(Node.data(), Node.size(), Seed);
}

std::size_t groupNodesPerDomain(std::size_t Slots, std::size_t Domains) {
  const std::size_t Each =
      std::max<std::size_t>(Domains, 1) * config::SlotsPerGroupNode;
  return std::max<std::size_t>(1, (Slots + Each - 1) / Each);
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
  for (auto &[Domain, Members] :
       sortedByDomain(Nodes, "entries of a failure domain")) {
    const std::size_t Wanted =
        Members.size() > config::LargeDomainNodes
            ? std::max(PerDomain, Members.size() / config::NodesPerEntry)
            : PerDomain;
    const std::size_t Taken = std::min(Wanted, Members.size());
    Entries.insert(Entries.end(), Members.begin(),
                   Members.begin() + static_cast<std::ptrdiff_t>(Taken));
  }
  return Entries;
}

std::vector<SteeringNode> accountEntries(const std::vector<SteeringNode> &Group,
                                         const AccountName &Account,
                                         std::size_t Count) {
  const std::string Key = "account " + Account.str();
  const ByDomain Domains = sortedByDomain(Group, Key);
  std::vector<SteeringNode> Entries;
  // One of each failure domain in turn, so that no two stand in one domain
  // while another has none.
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

} // namespace siskinstage
