#include "core/records/record_broadcast.h"
#include "siskinstage/config.h"

#include <algorithm>
#include <map>
#include <utility>

namespace siskinstage {

namespace {

/// Reduces \p Members to \p Count random ones.
void reduceToSample(std::vector<Address> &Members, std::size_t Count,
                    Random &Rng) {
  for (std::size_t I = 0; I < std::min(Count, Members.size()); ++I) {
    const auto Remaining = static_cast<std::uint32_t>(Members.size() - I);
    std::swap(Members[I], Members[I + Rng.below(Remaining)]);
  }
  Members.resize(std::min(Count, Members.size()));
}

/// Removes all members but those of large capacity: only their links can carry
/// a long record to the whole domain.
void keepLargeMembers(std::vector<Member> &Members) {
  std::uint32_t Largest = 0;
  for (const Member &Node : Members)
    Largest = std::max(Largest, Node.Capacity);
  std::erase_if(Members, [&](const Member &Node) {
    return Node.Capacity * config::LargeCapacityFactor < Largest;
  });
}

std::vector<Address> addressesOf(const std::vector<Member> &Members) {
  std::vector<Address> Addresses;
  Addresses.reserve(Members.size());
  for (const Member &Node : Members)
    Addresses.push_back(Node.Endpoint);
  return Addresses;
}

/// Recipients in the node's own domain; \p Others are its other members.
std::vector<Address> ownDomainRecipients(const std::vector<Member> &Others,
                                         const Member &Self,
                                         RecordSource Source, Random &Rng) {
  std::vector<Member> Large = Others;
  Large.push_back(Self);
  const std::size_t DomainSize = Large.size();
  keepLargeMembers(Large);
  const bool Mixed = Large.size() < DomainSize;
  const bool IsLarge =
      std::any_of(Large.begin(), Large.end(), [&](const Member &Node) {
        return Node.Endpoint == Self.Endpoint;
      });
  const std::size_t MaxDirect = Mixed && IsLarge
                                    ? config::MaxDirectUpdateMembersLarge
                                    : config::MaxDirectUpdateMembers;
  std::vector<Address> Recipients = addressesOf(Others);
  if (Recipients.size() <= MaxDirect) {
    if (Source == RecordSource::OwnDomain)
      Recipients.clear();
    return Recipients;
  }
  // In a domain with large instances, one of them sends the record to all
  // others, so a single further recipient is enough.
  reduceToSample(Recipients, Mixed ? 1 : config::UpdateFanout, Rng);
  return Recipients;
}

} // namespace

std::vector<Address> broadcastRecipients(const std::vector<Member> &Live,
                                         const Member &Self,
                                         RecordSource Source, Random &Rng) {
  std::map<FailureDomain, std::vector<Member>> Domains;
  for (const Member &Node : Live)
    if (Node.Endpoint != Self.Endpoint)
      Domains[Node.Domain].push_back(Node);
  std::vector<Address> Recipients =
      ownDomainRecipients(Domains[Self.Domain], Self, Source, Rng);
  Domains.erase(Self.Domain);
  if (Source != RecordSource::Platform)
    return Recipients;
  for (auto &[Domain, Members] : Domains) {
    keepLargeMembers(Members);
    std::vector<Address> Remote = addressesOf(Members);
    reduceToSample(Remote, config::CrossDomainUpdateFanout, Rng);
    Recipients.insert(Recipients.end(), Remote.begin(), Remote.end());
  }
  return Recipients;
}

} // namespace siskinstage
