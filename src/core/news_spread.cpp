#include "core/news_spread.h"
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

} // namespace

std::vector<Address> newsRecipients(const std::vector<Member> &Live,
                                    const Member &Self, NewsSource Source,
                                    Random &Dice) {
  std::map<FailureDomain, std::vector<Address>> Domains;
  for (const Member &Each : Live)
    if (Each.Where != Self.Where)
      Domains[Each.Domain].push_back(Each.Where);
  std::vector<Address> To = std::move(Domains[Self.Domain]);
  Domains.erase(Self.Domain);
  const bool Large = To.size() > config::NewsDirectMembers;
  if (Large)
    drawSome(To, config::NewsFanout, Dice);
  else if (Source == NewsSource::OwnDomain)
    To.clear();
  if (Source != NewsSource::Platform)
    return To;
  for (auto &[Domain, Members] : Domains) {
    drawSome(Members, config::NewsFarFanout, Dice);
    To.insert(To.end(), Members.begin(), Members.end());
  }
  return To;
}

} // namespace siskinstage
