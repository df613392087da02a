#include "core/fleet/membership.h"
#include "siskinstage/config.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <xxhash.h>

namespace siskinstage {

namespace {

/// Contribution of one live member to the digest.
std::uint64_t digestOf(const Member &Node) {
  const std::string Text =
      Node.Endpoint.str() + " " + std::to_string(Node.Process.Value);
  return XXH3_64bits(Text.data(), Text.size());
}

} // namespace

Membership::Membership(Member Self, std::uint64_t Seed)
    : Self(std::move(Self)), RandomSource(Seed), Digest(digestOf(this->Self)) {
  this->queueUpdate(this->Self);
}

void Membership::setSeeds(std::vector<Address> NewSeeds) {
  this->Seeds = std::move(NewSeeds);
}

void Membership::setPlatformUnreachable(bool Unreachable) {
  if (this->Self.PlatformUnreachable == Unreachable)
    return;
  this->Self.PlatformUnreachable = Unreachable;
  ++this->Self.StateVersion.Value; // Overrides the other members' entries.
  ++this->Version;
  this->queueUpdate(this->Self);
}

std::size_t Membership::liveCount() const {
  return static_cast<std::size_t>(std::count_if(
      this->Table.begin(), this->Table.end(),
      [](const auto &Entry) { return isLive(Entry.second.Current.State); }));
}

Membership::Stats Membership::stats() const {
  Stats Counts;
  for (const auto &[Endpoint, Entry] : this->Table) {
    Counts.Alive += Entry.Current.State == MemberState::Alive ? 1 : 0;
    Counts.Suspect += Entry.Current.State == MemberState::Suspect ? 1 : 0;
    Counts.Dead += isLive(Entry.Current.State) ? 0 : 1;
  }
  Counts.Suspicions = this->Suspicions;
  Counts.Refutations = this->Refutations;
  Counts.Slowness = this->Slowness;
  Counts.QueuedUpdates = this->UpdateQueue.size();
  return Counts;
}

std::vector<Member> Membership::members() const {
  std::vector<Member> All;
  for (const auto &[Endpoint, Entry] : this->Table)
    All.push_back(Entry.Current);
  return All;
}

std::vector<Member> Membership::live() const {
  std::vector<Member> Live = {this->Self};
  for (const auto &[Endpoint, Entry] : this->Table)
    if (isLive(Entry.Current.State))
      Live.push_back(Entry.Current);
  return Live;
}

std::vector<Address> Membership::sample(std::size_t Count) {
  std::vector<Address> Live;
  for (const auto &[Endpoint, Entry] : this->Table)
    if (isLive(Entry.Current.State))
      Live.push_back(Endpoint);
  for (std::size_t I = 0; I < std::min(Count, Live.size()); ++I) {
    const auto Remaining = static_cast<std::uint32_t>(Live.size() - I);
    std::swap(Live[I], Live[I + this->RandomSource.below(Remaining)]);
  }
  Live.resize(std::min(Count, Live.size()));
  return Live;
}

// Updates ------------------------------------------------------------------

int Membership::retransmitLimit() const {
  const double Members = static_cast<double>(this->Table.size()) + 1;
  return config::GossipRetransmitFactor *
         static_cast<int>(std::ceil(std::log10(Members + 1)));
}

void Membership::queueUpdate(const Member &Update) {
  this->UpdateQueue[Update.Endpoint] = {Update, 0};
}

void Membership::requeueOnDigestMismatch(std::uint64_t TheirDigest) {
  if (TheirDigest == this->Digest || !this->UpdateQueue.empty())
    return;
  const auto Sampled = this->sample(1);
  if (!Sampled.empty())
    this->queueUpdate(this->Table.at(Sampled.front()).Current);
}

GossipMessage Membership::compose(GossipBody Body) {
  GossipMessage Message;
  Message.From = this->Self;
  Message.Body = std::move(Body);
  Message.MembersDigest = this->Digest;
  // Updates that were sent least often go first.
  std::vector<QueuedUpdate *> Order;
  for (auto &[Endpoint, Queued] : this->UpdateQueue)
    Order.push_back(&Queued);
  const std::size_t Count =
      std::min(Order.size(), config::GossipUpdatesPerMessage);
  std::partial_sort(
      Order.begin(), Order.begin() + static_cast<std::ptrdiff_t>(Count),
      Order.end(), [](const QueuedUpdate *Left, const QueuedUpdate *Right) {
        return Left->SendCount < Right->SendCount;
      });
  const int Limit = this->retransmitLimit();
  std::vector<Address> Exhausted;
  for (std::size_t I = 0; I < Count; ++I) {
    Message.Updates.push_back(Order[I]->Update);
    if (++Order[I]->SendCount >= Limit)
      Exhausted.push_back(Order[I]->Update.Endpoint);
  }
  for (const Address &Endpoint : Exhausted)
    this->UpdateQueue.erase(Endpoint);
  return Message;
}

// Claims -------------------------------------------------------------------

void Membership::applyClaimAboutSelf(const Member &Claim) {
  const bool Contradicts =
      Claim.Process != this->Self.Process || Claim.State != MemberState::Alive;
  const bool Leaving = this->Self.State == MemberState::Left;
  if (!Contradicts || Leaving || Claim.StateVersion < this->Self.StateVersion)
    return;
  ++this->Refutations;
  this->Self.StateVersion.Value = Claim.StateVersion.Value + 1;
  this->Slowness = std::min(this->Slowness + 1, config::MaxSlowness);
  this->queueUpdate(this->Self);
}

void Membership::confirmSuspicion(MemberEntry &Entry, const Member &Claim) {
  // Counts members that suspect it on their own, not those that forward the
  // claim.
  if (!Entry.Confirmers.insert(Claim.SuspectedBy).second)
    return;
  const Duration Timeout = this->suspicionTimeout(Entry.Confirmers.size() - 1);
  Entry.SuspectUntil = std::min(Entry.SuspectUntil, Entry.StateSince + Timeout);
  this->queueUpdate(Claim);
}

void Membership::updateEntry(MemberEntry &Entry, const Member &Claim,
                             Instant Now) {
  const bool WasLive = isLive(Entry.Current.State);
  const bool NowLive = isLive(Claim.State);
  if (WasLive)
    this->Digest ^= digestOf(Entry.Current);
  if (NowLive)
    this->Digest ^= digestOf(Claim);
  if (WasLive != NowLive || Entry.Current.Process != Claim.Process ||
      Entry.Current.PlatformUnreachable != Claim.PlatformUnreachable ||
      Entry.Current.Capacity != Claim.Capacity)
    ++this->Version;
  if ((Entry.Current.State == MemberState::Suspect) !=
      (Claim.State == MemberState::Suspect))
    ++this->SuspectVersion;
  Entry.Current = Claim;
  Entry.StateSince = Now;
  Entry.Confirmers.clear();
  if (!this->MergingTable)
    this->queueUpdate(Claim);
}

void Membership::applyClaim(const Member &Claim, Instant Now) {
  if (Claim.Endpoint == this->Self.Endpoint) {
    this->applyClaimAboutSelf(Claim);
    return;
  }
  const auto [Found, Inserted] = this->Table.try_emplace(Claim.Endpoint);
  MemberEntry &Entry = Found->second;
  if (Inserted) {
    // Dead and left members that are not in the table are not added.
    if (!isLive(Claim.State)) {
      this->Table.erase(Found);
      return;
    }
    Entry.Current.Endpoint = Claim.Endpoint;
    Entry.Current.State = MemberState::Dead;
    this->updateEntry(Entry, Claim, Now);
  } else if (overrides(Claim, Entry.Current)) {
    this->updateEntry(Entry, Claim, Now);
  } else {
    const bool SameSuspicion = Claim.State == MemberState::Suspect &&
                               Entry.Current.State == MemberState::Suspect &&
                               Claim.StateVersion == Entry.Current.StateVersion;
    if (SameSuspicion)
      this->confirmSuspicion(Entry, Claim);
    return;
  }
  if (Entry.Current.State != MemberState::Suspect)
    return;
  Entry.SuspectUntil = Now + this->suspicionTimeout(0);
  Entry.Confirmers.insert(Claim.SuspectedBy);
}

std::size_t Membership::merge(const std::vector<Member> &Others, Instant Now) {
  const std::size_t Before = this->liveCount();
  this->MergingTable = true;
  for (const Member &Claim : Others) {
    // A table is second-hand, so its suspicions are not taken over: a suspect
    // member in it counts as alive.
    Member TableClaim = Claim;
    if (TableClaim.State == MemberState::Suspect)
      TableClaim.State = MemberState::Alive;
    TableClaim.SuspectedBy = Address();
    this->applyClaim(TableClaim, Now);
  }
  this->MergingTable = false;
  const std::size_t After = this->liveCount();
  return After - std::min(Before, After);
}

void Membership::suspect(const Address &Endpoint, Instant Now) {
  const auto Found = this->Table.find(Endpoint);
  if (Found == this->Table.end())
    return;
  Member Claim = Found->second.Current;
  Claim.SuspectedBy = this->Self.Endpoint;
  if (Claim.State == MemberState::Suspect) {
    this->confirmSuspicion(Found->second, Claim);
    return;
  }
  if (Claim.State != MemberState::Alive)
    return;
  ++this->Suspicions;
  Claim.State = MemberState::Suspect;
  this->applyClaim(Claim, Now);
}

Duration Membership::suspicionTimeout(std::size_t Confirmations) const {
  const double Members = static_cast<double>(this->liveCount()) + 1;
  const Duration MinTimeout = std::chrono::duration_cast<Duration>(
      config::GossipPeriod * config::SuspicionFactor *
      std::max(1.0, std::log10(Members)));
  const Duration MaxTimeout =
      MinTimeout * config::SuspicionMaxFactor * (this->Slowness + 1);
  // The time-out falls with the logarithm of the number of confirmations, as
  // in Lifeguard.
  const double Fraction = std::log(static_cast<double>(Confirmations) + 1) /
                          std::log(config::SuspicionConfirmations + 1.0);
  const double Reduction =
      static_cast<double>((MaxTimeout - MinTimeout).count()) *
      std::min(1.0, Fraction);
  return MaxTimeout - Duration(static_cast<std::int64_t>(Reduction));
}

void Membership::expireSuspicions(Instant Now) {
  std::vector<Member> Dead;
  for (const auto &[Endpoint, Entry] : this->Table)
    if (Entry.Current.State == MemberState::Suspect &&
        Now >= Entry.SuspectUntil)
      Dead.push_back(Entry.Current);
  for (Member Claim : Dead) {
    Claim.State = MemberState::Dead;
    this->applyClaim(Claim, Now);
  }
}

void Membership::removeDead(Instant Now) {
  for (auto It = this->Table.begin(); It != this->Table.end();) {
    const bool Expired =
        !isLive(It->second.Current.State) &&
        Now - It->second.StateSince > config::DeadMemberRetention;
    It = Expired ? this->Table.erase(It) : std::next(It);
  }
}

// Messages -----------------------------------------------------------------

void Membership::handle(const Ping &Body, const GossipMessage &Message,
                        std::vector<OutgoingGossip> &Out) {
  Out.push_back({Message.From.Endpoint, this->compose(Ack{Body.Sequence})});
}

void Membership::handle(const PingRequest &Body, const GossipMessage &Message,
                        Instant Now, std::vector<OutgoingGossip> &Out) {
  const std::uint64_t Sequence = this->NextSequence++;
  this->Relays[Sequence] = {Message.From.Endpoint, Body.Sequence, Now};
  Out.push_back({Body.Target, this->compose(Ping{Sequence})});
}

void Membership::handle(const Ack &Body, std::vector<OutgoingGossip> &Out) {
  const auto Relayed = this->Relays.find(Body.Sequence);
  if (Relayed != this->Relays.end()) {
    Out.push_back({Relayed->second.Requester,
                   this->compose(Ack{Relayed->second.Sequence})});
    this->Relays.erase(Relayed);
    return;
  }
  if (!this->PendingProbe || this->PendingProbe->Sequence != Body.Sequence)
    return;
  this->PendingProbe.reset();
  this->Slowness = std::max(0, this->Slowness - 1);
}

std::vector<OutgoingGossip> Membership::receive(const GossipMessage &Message,
                                                Instant Now) {
  std::vector<OutgoingGossip> Out;
  this->applyClaim(Message.From, Now);
  for (const Member &Claim : Message.Updates)
    this->applyClaim(Claim, Now);
  this->requeueOnDigestMismatch(Message.MembersDigest);
  if (const auto *PingBody = std::get_if<Ping>(&Message.Body))
    this->handle(*PingBody, Message, Out);
  else if (const auto *Request = std::get_if<PingRequest>(&Message.Body))
    this->handle(*Request, Message, Now, Out);
  else if (const auto *AckBody = std::get_if<Ack>(&Message.Body))
    this->handle(*AckBody, Out);
  // A sender that is not alive in the table gets that claim, so that it can
  // refute it.
  for (OutgoingGossip &Reply : Out)
    if (Reply.To == Message.From.Endpoint)
      this->addClaimAbout(Reply.To, Reply.Message);
  return Out;
}

std::vector<OutgoingGossip> Membership::leave(Instant /*Now*/) {
  this->Self.State = MemberState::Left;
  std::vector<OutgoingGossip> Out;
  for (const Address &Endpoint : this->sample(config::LeaveMessages)) {
    Out.push_back({Endpoint, this->compose(Ping{this->NextSequence++})});
    Out.back().Message.Updates.push_back(this->Self);
  }
  return Out;
}

} // namespace siskinstage
