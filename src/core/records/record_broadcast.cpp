#include "core/records/record_broadcast.h"
#include "siskinstage/config.h"

#include <algorithm>
#include <map>
#include <utility>

namespace siskinstage {

namespace {

bool isLarge(const Member &Node, std::uint32_t Largest) {
  return Node.Capacity * config::LargeCapacityFactor >= Largest;
}

std::uint32_t largestCapacity(const std::vector<const Member *> &Members) {
  std::uint32_t Largest = 0;
  for (const Member *Node : Members)
    Largest = std::max(Largest, Node->Capacity);
  return Largest;
}

/// Adds the addresses of \p Count random ones of \p Members to \p Recipients.
void addSample(std::vector<const Member *> Members, std::size_t Count,
               Random &Rng, std::vector<Address> &Recipients) {
  for (std::size_t I = 0; I < std::min(Count, Members.size()); ++I) {
    const auto Remaining = static_cast<std::uint32_t>(Members.size() - I);
    std::swap(Members[I], Members[I + Rng.below(Remaining)]);
    Recipients.push_back(Members[I]->Endpoint);
  }
}

/// Recipients in the node's own domain.
std::vector<Address> ownDomainRecipients(const std::vector<Member> &Live,
                                         const Member &Self,
                                         const RecordSender &From,
                                         Random &Rng) {
  std::vector<const Member *> Others;
  for (const Member &Node : Live)
    if (Node.Domain == Self.Domain && Node.Endpoint != Self.Endpoint)
      Others.push_back(&Node);
  const std::uint32_t Largest =
      std::max(largestCapacity(Others), Self.Capacity);
  std::vector<const Member *> Large;
  std::vector<const Member *> Small;
  for (const Member *Node : Others)
    (isLarge(*Node, Largest) ? Large : Small).push_back(Node);
  const bool SelfLarge = isLarge(Self, Largest);
  const bool Mixed = !Small.empty() || !SelfLarge;

  std::vector<Address> Recipients;
  const std::size_t MaxDirect = Mixed && SelfLarge
                                    ? config::MaxDirectUpdateMembersLarge
                                    : config::MaxDirectUpdateMembers;
  if (Others.size() <= MaxDirect) {
    if (From.Source != RecordSource::OwnDomain)
      addSample(Others, Others.size(), Rng, Recipients);
    return Recipients;
  }
  if (!Mixed || Others.size() > config::MaxDirectUpdateMembersLarge) {
    addSample(Others, config::UpdateFanout, Rng, Recipients);
    return Recipients;
  }
  const bool FromLarge =
      std::any_of(Large.begin(), Large.end(), [&](const Member *Node) {
        return Node->Endpoint == From.Node;
      });
  if (FromLarge)
    return Recipients;
  if (From.Source != RecordSource::OwnDomain)
    addSample(Large, Large.size(), Rng, Recipients);
  addSample(Small, config::UpdateFanout, Rng, Recipients);
  return Recipients;
}

} // namespace

std::vector<Address> broadcastRecipients(const std::vector<Member> &Live,
                                         const Member &Self,
                                         const RecordSender &From,
                                         Random &Rng) {
  std::vector<Address> Recipients = ownDomainRecipients(Live, Self, From, Rng);
  if (From.Source != RecordSource::Platform)
    return Recipients;
  std::map<FailureDomain, std::vector<const Member *>> Domains;
  for (const Member &Node : Live)
    if (Node.Domain != Self.Domain)
      Domains[Node.Domain].push_back(&Node);
  for (auto &[Domain, Members] : Domains) {
    // Only the links of large members can carry a long record to the whole
    // domain.
    const std::uint32_t Largest = largestCapacity(Members);
    std::erase_if(Members,
                  [&](const Member *Node) { return !isLarge(*Node, Largest); });
    addSample(Members, config::CrossDomainUpdateFanout, Rng, Recipients);
  }
  return Recipients;
}

} // namespace siskinstage
