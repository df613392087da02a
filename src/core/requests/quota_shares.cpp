#include "core/requests/quota_shares.h"
#include "siskinstage/config.h"

#include <algorithm>
#include <utility>

namespace siskinstage {

namespace {

/// Shortest life of a loan: a renewal can be tried seven times in its second
/// half.
constexpr Millis LoanTime{6000};
/// Period in which a claimant asks each other one whether it is in contact. It
/// grows with the number of claimants, which keeps the traffic of a node the
/// same: with 4 s and 6 nodes, gossip exceeded 3 KB/s a node.
constexpr Millis ContactPeriod{8000};
constexpr Millis ContactPeriodPerNode{1000};
/// A claim ends this many contact periods after the contact with half of the
/// claimants, and a silent claimant is forgotten after ForgetPeriods: the claim
/// has then ended, and all loans from it.
constexpr int ContactPeriods = 2;
constexpr int ForgetPeriods = 4;
/// A claimant that was counted this long before it asked has been one earlier.
constexpr Millis KnownBeforeMargin{2000};
/// A claim that not all others count within this time is given up: one of them
/// has become silent.
constexpr Millis ClaimingLimit{3000};
/// A node that counts more claimants than this one is asked again after this:
/// it may count one that has withdrawn.
constexpr Millis CountRefreshTime{1000};
/// Part of the waiting time after which a silent node is asked again.
constexpr int RetryDivisor = 8;

} // namespace

QuotaShares::QuotaShares(Address Self, Instant Started)
    : Self(std::move(Self)), Started(Started), Joined(Started) {}

Duration QuotaShares::contactPeriod() const {
  const auto Nodes = static_cast<Duration::rep>(this->Others.size() + 1);
  return std::max<Duration>(ContactPeriod, ContactPeriodPerNode * Nodes);
}

Duration QuotaShares::loanTime() const {
  return std::max<Duration>(LoanTime, this->contactPeriod());
}

Duration QuotaShares::wantedFor(Instant Now) const {
  return Now - this->Joined;
}

void QuotaShares::setEntries(const std::vector<Address> &Entries,
                             bool ViewComplete, Instant Now) {
  this->Complete = ViewComplete;
  this->IsEntry = false;
  for (auto &[Node, Known] : this->Others)
    Known.IsEntry = false;
  for (const Address &Entry : Entries) {
    if (Entry == this->Self)
      this->IsEntry = true;
    else
      this->Others[Entry].IsEntry = true;
  }
  this->update(Now);
}

void QuotaShares::setListed(std::set<Address> Live) {
  this->Listed = std::move(Live);
}

void QuotaShares::noteClaimant(const Address &Node, Instant Now) {
  Other &Known = this->Others[Node];
  if (!Known.Counted)
    Known.FirstCounted = Now;
  Known.Counted = true;
  Known.LastSeen = Now;
  this->update(Now);
}

void QuotaShares::noteWithdrawn(const Address &Node, Instant Now) {
  const auto Found = this->Others.find(Node);
  if (Found == this->Others.end())
    return;
  Found->second.Counted = false;
  Found->second.Nodes = 0;
  this->update(Now);
}

void QuotaShares::noteResponse(const Address &Node, Instant SentAt,
                               const QuotaResponse &Response, Instant Now) {
  const auto Found = this->Others.find(Node);
  if (Found == this->Others.end())
    return;
  Other &Known = Found->second;
  Known.Contact = std::max(Known.Contact.value_or(SentAt), SentAt);
  Known.Nodes = Response.Nodes;
  if (SentAt >= this->Joined)
    this->KnownBefore = this->KnownBefore || Response.KnownBefore;
  this->update(Now);
}

bool QuotaShares::knewBefore(const Address &Node, Duration WantedFor,
                             Instant Now) const {
  const auto Found = this->Others.find(Node);
  return Found != this->Others.end() && Found->second.Counted &&
         Found->second.FirstCounted + KnownBeforeMargin <= Now - WantedFor;
}

bool QuotaShares::inContact(const Other &Node, Instant Now) const {
  return Node.Contact &&
         Now - *Node.Contact <= this->contactPeriod() * ContactPeriods;
}

std::size_t QuotaShares::contacts(Instant Now) const {
  return 1 +
         static_cast<std::size_t>(std::count_if(
             this->Others.begin(), this->Others.end(), [&](const auto &Item) {
               return Item.second.Counted && this->inContact(Item.second, Now);
             }));
}

std::size_t QuotaShares::answeredSince(Instant Time) const {
  return static_cast<std::size_t>(std::count_if(
      this->Others.begin(), this->Others.end(), [Time](const auto &Item) {
        return Item.second.Contact && *Item.second.Contact >= Time;
      }));
}

std::uint32_t QuotaShares::countedNodes() const {
  const auto Counted =
      std::count_if(this->Others.begin(), this->Others.end(),
                    [](const auto &Item) { return Item.second.Counted; });
  return static_cast<std::uint32_t>(Counted) + (this->claims() ? 1 : 0);
}

std::size_t QuotaShares::divisor(Instant Now) const {
  std::size_t Nodes = this->countedNodes() + (this->claims() ? 0 : 1);
  for (const auto &[Node, Known] : this->Others)
    if (this->inContact(Known, Now))
      Nodes = std::max<std::size_t>(Nodes, Known.Nodes);
  return Nodes;
}

void QuotaShares::forgetSilent(Instant Now) {
  const bool Majority = this->contacts(Now) * 2 > this->divisor(Now);
  const Duration Limit = this->contactPeriod() * ForgetPeriods;
  for (auto &[Node, Known] : this->Others)
    if (Known.IsEntry)
      Known.LastSeen = Now;
  std::erase_if(this->Others, [&](const auto &Item) {
    const Other &Known = Item.second;
    const bool Ended =
        !this->Listed.empty() && this->Listed.count(Item.first) == 0;
    if (!Known.Counted)
      return !Known.IsEntry;
    return (Majority || Ended) && Now - Known.LastSeen > Limit;
  });
}

void QuotaShares::join(Instant Now) {
  this->State = Phase::Asking;
  this->Joined = Now;
  this->KnownBefore = false;
}

bool QuotaShares::mayClaim(std::size_t Nodes, Instant Now) const {
  if (!this->Complete || Now - this->Started < config::QuotaStartTime)
    return false;
  const std::size_t Answered = this->answeredSince(this->Joined);
  return this->KnownBefore ||
         (Answered == this->Others.size() && Answered + 1 >= Nodes);
}

bool QuotaShares::mayActivate(std::size_t Nodes, Instant Now) const {
  const std::size_t Answered = this->answeredSince(this->ClaimingSince);
  if (Answered == this->Others.size() && Answered + 1 >= Nodes)
    return true;
  // The silent ones have counted this node before, and their loans from its
  // last process have ended.
  return this->KnownBefore && (Answered + 1) * 2 >= Nodes &&
         Now - this->Joined > this->loanTime();
}

void QuotaShares::advance(std::size_t Nodes, Instant Now) {
  // A node that took itself for an entry while it started has no callers.
  const bool Keeps = this->State == Phase::Active && this->InUse &&
                     this->EntryAt &&
                     Now - *this->EntryAt <= config::QuotaDemotionTime;
  const bool Wanted = this->IsEntry || Keeps;
  if (!Wanted)
    this->State = Phase::None;
  else if (this->State == Phase::None)
    this->join(Now);
  if (this->State == Phase::Active && this->contacts(Now) * 2 < Nodes)
    this->join(Now);
  if (this->State == Phase::Asking && this->mayClaim(Nodes, Now)) {
    this->State = Phase::Claiming;
    this->ClaimingSince = Now;
  }
  if (this->State != Phase::Claiming)
    return;
  if (this->mayActivate(Nodes, Now)) {
    this->State = Phase::Active;
    this->ActiveSince = Now;
  } else if (!this->KnownBefore && Now - this->ClaimingSince > ClaimingLimit) {
    this->join(Now);
  }
}

Instant QuotaShares::contactEnd(std::size_t Nodes, Instant Now) const {
  std::vector<Instant> Times;
  for (const auto &[Node, Known] : this->Others)
    if (Known.Counted && Known.Contact)
      Times.push_back(*Known.Contact);
  std::sort(Times.rbegin(), Times.rend());
  const std::size_t Needed = (Nodes + 1) / 2 - 1; // Without this node.
  if (Needed == 0)
    return Now + this->contactPeriod();
  if (Times.size() < Needed)
    return Now;
  return Times[Needed - 1] + this->contactPeriod() * ContactPeriods;
}

void QuotaShares::update(Instant Now) {
  if (this->IsEntry)
    this->EntryAt = Now;
  this->forgetSilent(Now);
  this->advance(this->divisor(Now), Now);
  const std::size_t Nodes = this->divisor(Now);
  this->Claim = this->State == Phase::Active
                    ? WholeQuota / static_cast<QuotaParts>(Nodes)
                    : 0;
  this->ClaimUntil = this->contactEnd(Nodes, Now);
}

bool QuotaShares::mustContact(const Address &Node, Instant LastSent,
                              Instant Now) const {
  const auto Found = this->Others.find(Node);
  if (Found == this->Others.end() || this->State == Phase::None)
    return false;
  const Instant Contact = Found->second.Contact.value_or(Instant());
  const bool Answered =
      Found->second.Contact &&
      Contact >=
          (this->State == Phase::Asking ? this->Joined : this->ClaimingSince);
  if (this->State != Phase::Active && !Answered)
    return LastSent < std::max(this->Joined, this->ClaimingSince) ||
           Now - LastSent >
               std::max<Duration>(config::QuotaResponseTimeout,
                                  this->wantedFor(Now) / RetryDivisor);
  const bool CountsMore = Found->second.Nodes > this->countedNodes();
  return Now - std::max(LastSent, Contact) >
         (CountsMore ? CountRefreshTime : this->contactPeriod());
}

std::vector<Address> QuotaShares::others() const {
  std::vector<Address> Nodes;
  for (const auto &[Node, Known] : this->Others)
    Nodes.push_back(Node);
  return Nodes;
}

std::vector<Address> QuotaShares::lenders() const {
  std::vector<Address> Nodes;
  for (const auto &[Node, Known] : this->Others)
    if (Known.Counted || Known.IsEntry)
      Nodes.push_back(Node);
  return Nodes;
}

} // namespace siskinstage
