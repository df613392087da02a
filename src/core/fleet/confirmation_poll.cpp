#include "core/fleet/confirmation_poll.h"
#include "core/fleet/confirmation_limits.h"

#include <algorithm>

namespace siskinstage {

namespace {

/// Appends the addresses of \p Nodes without \p Self, starting at a position
/// that \p Seed determines.
void appendRotated(const std::vector<SteeringNode> &Nodes, const Address &Self,
                   std::uint64_t Seed, std::vector<Address> &Peers) {
  const auto First = static_cast<std::ptrdiff_t>(Peers.size());
  for (const SteeringNode &Node : Nodes)
    if (Node.Endpoint != Self &&
        std::find(Peers.begin(), Peers.end(), Node.Endpoint) == Peers.end())
      Peers.push_back(Node.Endpoint);
  const auto Added = static_cast<std::uint64_t>(Peers.size()) -
                     static_cast<std::uint64_t>(First);
  if (Added > 0)
    std::rotate(Peers.begin() + First,
                Peers.begin() + First +
                    static_cast<std::ptrdiff_t>(Seed % Added),
                Peers.end());
}

} // namespace

Duration confirmationPeriod(Duration Period, Duration Limit) {
  const Duration Reference = config::ReferenceRevocationLimit;
  if (Limit >= Reference)
    return Period;
  return std::max<Duration>(Duration(static_cast<Duration::rep>(
                                static_cast<double>(Period.count()) *
                                (static_cast<double>(Limit.count()) /
                                 static_cast<double>(Reference.count())))),
                            config::MinConfirmationPeriod);
}

PollPlan planPolls(const Address &Self, const FailureDomain &Domain,
                   const std::vector<SteeringNode> &Watchers,
                   const std::vector<SteeringNode> &Entries, Duration Limit,
                   std::uint64_t Seed) {
  const bool IsEntry = std::any_of(
      Entries.begin(), Entries.end(),
      [&](const SteeringNode &Node) { return Node.Endpoint == Self; });
  std::vector<SteeringNode> DomainEntries;
  for (const SteeringNode &Node : Entries)
    if (Node.Domain == Domain)
      DomainEntries.push_back(Node);
  PollPlan Plan;
  Plan.Period = confirmationPeriod(
      IsEntry ? config::EntryPollPeriod : config::NodePollPeriod, Limit);
  if (!IsEntry)
    appendRotated(DomainEntries, Self, Seed, Plan.Peers);
  appendRotated(Watchers, Self, Seed, Plan.Peers);
  // Also for the only watcher, whose reads may fail.
  appendRotated(Entries, Self, Seed, Plan.Peers);
  return Plan;
}

std::optional<ConfirmationPoll::Request>
ConfirmationPoll::next(const PollPlan &Plan, Instant Now) {
  if (!this->due(Now) || Plan.Peers.empty())
    return std::nullopt;
  const bool Silent =
      !this->Unanswered.empty() &&
      this->Unanswered.back().Sent.Sequence + 1 == this->NextSequence;
  if (Silent || this->PeerFailed) {
    ++this->PeerIndex;
    this->PreferredAgainAt = Now + config::PreferredPeerRetryTime;
  } else if (Now >= this->PreferredAgainAt) {
    this->PeerIndex = 0;
  }
  this->PeerIndex %= Plan.Peers.size();
  this->PeerFailed = false;
  this->NextPoll = Now + Plan.Period;
  const Request New = {Plan.Peers[this->PeerIndex], this->NextSequence++};
  this->Unanswered.push_back({New, Now});
  if (this->Unanswered.size() > config::MaxUnansweredPolls)
    this->Unanswered.pop_front();
  return New;
}

std::optional<Instant> ConfirmationPoll::receive(const Address &From,
                                                 std::uint64_t Sequence) {
  const auto Found =
      std::find_if(this->Unanswered.begin(), this->Unanswered.end(),
                   [&](const SentRequest &Candidate) {
                     return Candidate.Sent.Sequence == Sequence &&
                            Candidate.Sent.Peer == From;
                   });
  if (Found == this->Unanswered.end())
    return std::nullopt;
  const Instant SentAt = Found->At;
  this->Unanswered.erase(Found);
  return SentAt;
}

} // namespace siskinstage
