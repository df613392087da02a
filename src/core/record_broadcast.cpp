#include "core/record_broadcast.h"
#include "siskinstage/config.h"

#include <algorithm>
#include <map>
#include <utility>

namespace siskinstage {

namespace {

/// Cuts \p Members down to \p Count drawn at random.
void drawSome(std::vector<Address> &Members, std::size_t Count, Random &Dice) {
  for (std::size_t I = 0; I < std::min(Count, Members.size()); ++I) {
    const auto Left = static_cast<std::uint32_t>(Members.size() - I);
    std::swap(Members[I], Members[I + Dice.below(Left)]);
  }
  Members.resize(std::min(Count, Members.size()));
}

/// Leaves the machines of large capacity: they have the links that carry a long
/// record to the whole of their domain.
void keepLarge(std::vector<Member> &Members) {
  std::uint32_t Largest = 0;
  for (const Member &Each : Members)
    Largest = std::max(Largest, Each.Capacity);
  std::erase_if(Members, [&](const Member &Each) {
    return Each.Capacity * config::LargeCapacityFactor < Largest;
  });
}

std::vector<Address> addressesOf(const std::vector<Member> &Members) {
  std::vector<Address> Addresses;
  Addresses.reserve(Members.size());
  for (const Member &Each : Members)
    Addresses.push_back(Each.Endpoint);
  return Addresses;
}

/// Whom a node tells in its own domain of \p Others.
std::vector<Address> ownRecipients(const std::vector<Member> &Others,
                                   const Member &Self, RecordSource Source,
                                   Random &Dice) {
  std::vector<Member> Large = Others;
  Large.push_back(Self);
  const std::size_t All = Large.size();
  keepLarge(Large);
  const bool Mixed = Large.size() < All;
  const bool IsLarge =
      std::any_of(Large.begin(), Large.end(), [&](const Member &Each) {
        return Each.Endpoint == Self.Endpoint;
      });
  const std::size_t Direct = Mixed && IsLarge
                                 ? config::MaxDirectUpdateMembersLarge
                                 : config::MaxDirectUpdateMembers;
  std::vector<Address> To = addressesOf(Others);
  if (To.size() <= Direct) {
    if (Source == RecordSource::OwnDomain)
      To.clear();
    return To;
  }
  // A large machine has told everyone, or does so now.
  drawSome(To, Mixed ? 1 : config::UpdateFanout, Dice);
  return To;
}

} // namespace

std::vector<Address> broadcastRecipients(const std::vector<Member> &Live,
                                         const Member &Self,
                                         RecordSource Source, Random &Dice) {
  std::map<FailureDomain, std::vector<Member>> Domains;
  for (const Member &Each : Live)
    if (Each.Endpoint != Self.Endpoint)
      Domains[Each.Domain].push_back(Each);
  std::vector<Address> To =
      ownRecipients(Domains[Self.Domain], Self, Source, Dice);
  Domains.erase(Self.Domain);
  if (Source != RecordSource::Platform)
    return To;
  for (auto &[Domain, Members] : Domains) {
    keepLarge(Members);
    std::vector<Address> Far = addressesOf(Members);
    drawSome(Far, config::CrossDomainUpdateFanout, Dice);
    To.insert(To.end(), Far.begin(), Far.end());
  }
  return To;
}

} // namespace siskinstage
