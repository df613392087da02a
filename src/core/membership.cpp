#include "core/membership.h"
#include "siskinstage/config.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <xxhash.h>

namespace siskinstage {

namespace {

bool isLive(MemberState State) {
  return State == MemberState::Alive || State == MemberState::Suspect;
}

/// Part of the digest that stands for one live member.
std::uint64_t digestOf(const Member &Each) {
  const std::string Text =
      Each.Endpoint.str() + " " + std::to_string(Each.Process.Value);
  return XXH3_64bits(Text.data(), Text.size());
}

} // namespace

Membership::Membership(Member Self, std::uint64_t Seed)
    : Self(std::move(Self)), Dice(Seed), Digest(digestOf(this->Self)) {
  this->enqueue(this->Self);
}

void Membership::setSeeds(std::vector<Address> New) {
  this->Seeds = std::move(New);
}

void Membership::setPlatformUnreachable(bool Unreachable) {
  if (this->Self.PlatformUnreachable == Unreachable)
    return;
  this->Self.PlatformUnreachable = Unreachable;
  ++this->Self.StateVersion.Value; // Overrides what the others know.
  ++this->Version;
  this->enqueue(this->Self);
}

std::size_t Membership::liveCount() const {
  return static_cast<std::size_t>(std::count_if(
      this->Table.begin(), this->Table.end(),
      [](const auto &Entry) { return isLive(Entry.second.Is.State); }));
}

Membership::Stats Membership::stats() const {
  Stats Counts;
  for (const auto &[Where, Entry] : this->Table) {
    Counts.Alive += Entry.Is.State == MemberState::Alive ? 1 : 0;
    Counts.Suspect += Entry.Is.State == MemberState::Suspect ? 1 : 0;
    Counts.Dead += isLive(Entry.Is.State) ? 0 : 1;
  }
  Counts.Suspicions = this->Suspicions;
  Counts.Refutations = this->Refutations;
  Counts.Slowness = this->Slowness;
  Counts.QueuedUpdates = this->Queue.size();
  return Counts;
}

std::vector<Member> Membership::members() const {
  std::vector<Member> All;
  for (const auto &[Where, Entry] : this->Table)
    All.push_back(Entry.Is);
  return All;
}

std::vector<Member> Membership::live() const {
  std::vector<Member> Live = {this->Self};
  for (const auto &[Where, Entry] : this->Table)
    if (isLive(Entry.Is.State))
      Live.push_back(Entry.Is);
  return Live;
}

std::vector<Address> Membership::sample(std::size_t Count) {
  std::vector<Address> Live;
  for (const auto &[Where, Entry] : this->Table)
    if (isLive(Entry.Is.State))
      Live.push_back(Where);
  for (std::size_t I = 0; I < std::min(Count, Live.size()); ++I) {
    const auto Left = static_cast<std::uint32_t>(Live.size() - I);
    std::swap(Live[I], Live[I + this->Dice.below(Left)]);
  }
  Live.resize(std::min(Count, Live.size()));
  return Live;
}

// News ---------------------------------------------------------------------

int Membership::sendLimit() const {
  const double Members = static_cast<double>(this->Table.size()) + 1;
  return config::GossipRetransmitFactor *
         static_cast<int>(std::ceil(std::log10(Members + 1)));
}

void Membership::enqueue(const Member &About) {
  this->Queue[About.Endpoint] = {About, 0};
}

void Membership::repairDifference(std::uint64_t TheirDigest) {
  if (TheirDigest == this->Digest || !this->Queue.empty())
    return;
  const auto Drawn = this->sample(1);
  if (!Drawn.empty())
    this->enqueue(this->Table.at(Drawn.front()).Is);
}

GossipMessage Membership::compose(GossipBody Body) {
  GossipMessage Message;
  Message.From = this->Self;
  Message.Body = std::move(Body);
  Message.MembersDigest = this->Digest;
  // The news sent least often goes first.
  std::vector<News *> Order;
  for (auto &[Where, Each] : this->Queue)
    Order.push_back(&Each);
  const std::size_t Count =
      std::min(Order.size(), config::GossipUpdatesPerMessage);
  std::partial_sort(Order.begin(),
                    Order.begin() + static_cast<std::ptrdiff_t>(Count),
                    Order.end(), [](const News *Left, const News *Right) {
                      return Left->Sent < Right->Sent;
                    });
  const int Limit = this->sendLimit();
  std::vector<Address> Spent;
  for (std::size_t I = 0; I < Count; ++I) {
    Message.Updates.push_back(Order[I]->About);
    if (++Order[I]->Sent >= Limit)
      Spent.push_back(Order[I]->About.Endpoint);
  }
  for (const Address &Where : Spent)
    this->Queue.erase(Where);
  return Message;
}

// Claims -------------------------------------------------------------------

void Membership::applyAboutSelf(const Member &Claim) {
  const bool Wrong =
      Claim.Process != this->Self.Process || Claim.State != MemberState::Alive;
  const bool Leaving = this->Self.State == MemberState::Left;
  if (!Wrong || Leaving || Claim.StateVersion < this->Self.StateVersion)
    return;
  ++this->Refutations;
  this->Self.StateVersion.Value = Claim.StateVersion.Value + 1;
  this->Slowness = std::min(this->Slowness + 1, config::MaxSlowness);
  this->enqueue(this->Self);
}

void Membership::confirm(Known &Entry, const Member &Claim) {
  // Only who suspects on its own counts, not who passes the news on.
  if (!Entry.Confirmed.insert(Claim.SuspectedBy).second)
    return;
  const Duration Length = this->suspicionLength(Entry.Confirmed.size() - 1);
  Entry.SuspectUntil = std::min(Entry.SuspectUntil, Entry.Since + Length);
  this->enqueue(Claim);
}

void Membership::settle(Known &Entry, const Member &Claim, Instant Now) {
  const bool WasLive = isLive(Entry.Is.State);
  const bool NowLive = isLive(Claim.State);
  if (WasLive)
    this->Digest ^= digestOf(Entry.Is);
  if (NowLive)
    this->Digest ^= digestOf(Claim);
  if (WasLive != NowLive || Entry.Is.Process != Claim.Process ||
      Entry.Is.PlatformUnreachable != Claim.PlatformUnreachable ||
      Entry.Is.Capacity != Claim.Capacity)
    ++this->Version;
  if ((Entry.Is.State == MemberState::Suspect) !=
      (Claim.State == MemberState::Suspect))
    ++this->SuspectVersion;
  Entry.Is = Claim;
  Entry.Since = Now;
  Entry.Confirmed.clear();
  if (!this->Merging)
    this->enqueue(Claim);
}

void Membership::apply(const Member &Claim, Instant Now) {
  if (Claim.Endpoint == this->Self.Endpoint) {
    this->applyAboutSelf(Claim);
    return;
  }
  const auto [Found, New] = this->Table.try_emplace(Claim.Endpoint);
  Known &Entry = Found->second;
  if (New) {
    // What is dead and unknown need not be learned.
    if (!isLive(Claim.State)) {
      this->Table.erase(Found);
      return;
    }
    Entry.Is.Endpoint = Claim.Endpoint;
    Entry.Is.State = MemberState::Dead;
    this->settle(Entry, Claim, Now);
  } else if (overrides(Claim, Entry.Is)) {
    this->settle(Entry, Claim, Now);
  } else {
    const bool Same = Claim.State == MemberState::Suspect &&
                      Entry.Is.State == MemberState::Suspect &&
                      Claim.StateVersion == Entry.Is.StateVersion;
    if (Same)
      this->confirm(Entry, Claim);
    return;
  }
  if (Entry.Is.State != MemberState::Suspect)
    return;
  Entry.SuspectUntil = Now + this->suspicionLength(0);
  Entry.Confirmed.insert(Claim.SuspectedBy);
}

std::size_t Membership::merge(const std::vector<Member> &Others, Instant Now) {
  const std::size_t Before = this->liveCount();
  this->Merging = true;
  for (const Member &Claim : Others) {
    // A table is second-hand: who is suspect there is only known here.
    Member Softened = Claim;
    if (Softened.State == MemberState::Suspect)
      Softened.State = MemberState::Alive;
    Softened.SuspectedBy = Address();
    this->apply(Softened, Now);
  }
  this->Merging = false;
  const std::size_t After = this->liveCount();
  return After - std::min(Before, After);
}

void Membership::suspect(const Address &Where, Instant Now) {
  const auto Found = this->Table.find(Where);
  if (Found == this->Table.end())
    return;
  Member Claim = Found->second.Is;
  Claim.SuspectedBy = this->Self.Endpoint;
  if (Claim.State == MemberState::Suspect) {
    this->confirm(Found->second, Claim);
    return;
  }
  if (Claim.State != MemberState::Alive)
    return;
  ++this->Suspicions;
  Claim.State = MemberState::Suspect;
  this->apply(Claim, Now);
}

Duration Membership::suspicionLength(std::size_t Confirmations) const {
  const double Members = static_cast<double>(this->liveCount()) + 1;
  const Duration Least = std::chrono::duration_cast<Duration>(
      config::GossipPeriod * config::SuspicionFactor *
      std::max(1.0, std::log10(Members)));
  const Duration Longest =
      Least * config::SuspicionMaxFactor * (this->Slowness + 1);
  // Each confirmation takes off a part, fewer by logarithm.
  const double Part = std::log(static_cast<double>(Confirmations) + 1) /
                      std::log(config::SuspicionConfirmations + 1.0);
  const double Taken =
      static_cast<double>((Longest - Least).count()) * std::min(1.0, Part);
  return Longest - Duration(static_cast<std::int64_t>(Taken));
}

void Membership::expireSuspicions(Instant Now) {
  std::vector<Member> Dead;
  for (const auto &[Where, Entry] : this->Table)
    if (Entry.Is.State == MemberState::Suspect && Now >= Entry.SuspectUntil)
      Dead.push_back(Entry.Is);
  for (Member Claim : Dead) {
    Claim.State = MemberState::Dead;
    this->apply(Claim, Now);
  }
}

void Membership::forgetDead(Instant Now) {
  for (auto At = this->Table.begin(); At != this->Table.end();) {
    const bool Old = !isLive(At->second.Is.State) &&
                     Now - At->second.Since > config::DeadMemberRetention;
    At = Old ? this->Table.erase(At) : std::next(At);
  }
}

// Probes -------------------------------------------------------------------

std::vector<Address> Membership::near() {
  std::vector<Address> Near = this->sample(this->Table.size());
  std::erase_if(Near, [this](const Address &Where) {
    return this->Table.at(Where).Is.Domain != this->Self.Domain;
  });
  return Near;
}

std::optional<Address> Membership::takeLive(std::vector<Address> &Order) {
  while (!Order.empty()) {
    const Address Where = Order.back();
    Order.pop_back();
    const auto Found = this->Table.find(Where);
    if (Found != this->Table.end() && isLive(Found->second.Is.State))
      return Where;
  }
  return std::nullopt;
}

std::optional<Address> Membership::nextInTurn() {
  const bool Far = ++this->Periods % config::CrossDomainPingPeriods == 0;
  if (!Far) {
    if (this->NearTurn.empty())
      this->NearTurn = this->near();
    if (const auto Near = this->takeLive(this->NearTurn))
      return Near;
  }
  if (this->Turn.empty())
    this->Turn = this->sample(this->Table.size());
  return this->takeLive(this->Turn);
}

void Membership::startProbe(Instant Now, std::vector<OutgoingGossip> &Out) {
  if (const auto Target = this->nextInTurn()) {
    this->Pending = Probe{*Target, this->NextSequence++, Now, false};
    Out.push_back({*Target, this->compose(Ping{this->Pending->Sequence})});
    // The suspect itself must hear of the suspicion, to refute it.
    this->addClaimAbout(*Target, Out.back().Message);
  }
  // Whoever seems dead may be behind a cut that has healed; a seed that is no
  // live member may be a part of the fleet that was lost.
  std::vector<Address> Lost;
  for (const auto &[Where, Entry] : this->Table)
    if (Entry.Is.State == MemberState::Dead)
      Lost.push_back(Where);
  for (const Address &Seed : this->Seeds)
    if (Seed != this->Self.Endpoint && this->Table.count(Seed) == 0)
      Lost.push_back(Seed);
  if (Lost.empty())
    return;
  const auto Count = static_cast<std::uint32_t>(Lost.size());
  const Address &Chosen = Lost[this->Dice.below(Count)];
  Out.push_back({Chosen, this->compose(Ping{this->NextSequence++})});
  this->addClaimAbout(Chosen, Out.back().Message);
}

void Membership::addClaimAbout(const Address &Where,
                               GossipMessage &Message) const {
  const auto Found = this->Table.find(Where);
  if (Found != this->Table.end() &&
      Found->second.Is.State != MemberState::Alive)
    Message.Updates.push_back(Found->second.Is);
}

void Membership::checkProbe(Instant Now, std::vector<OutgoingGossip> &Out) {
  if (!this->Pending)
    return;
  const Duration Waited = Now - this->Pending->Sent;
  const Duration Direct = config::GossipAckTimeout * (this->Slowness + 1);
  if (!this->Pending->Indirect && Waited >= Direct) {
    this->Pending->Indirect = true;
    for (const Address &Helper : this->sample(config::GossipIndirectProbes))
      if (Helper != this->Pending->Target)
        Out.push_back(
            {Helper, this->compose(PingRequest{this->Pending->Sequence,
                                               this->Pending->Target})});
  }
  if (Waited < config::GossipPeriod * (this->Slowness + 1))
    return;
  const Address Silent = this->Pending->Target;
  this->Pending.reset();
  this->Slowness = std::min(this->Slowness + 1, config::MaxSlowness);
  this->suspect(Silent, Now);
}

void Membership::noteOwnPause(Instant Now) {
  const bool Paused = this->LastTick != Instant{} &&
                      Now - this->LastTick > config::GossipPauseThreshold;
  this->LastTick = Now;
  if (!Paused)
    return;
  // Whoever slept can't blame the others for their silence.
  this->Pending.reset();
  this->Slowness = config::MaxSlowness;
  for (auto &[Where, Entry] : this->Table)
    if (Entry.Is.State == MemberState::Suspect)
      Entry.SuspectUntil = Now + this->suspicionLength(0);
}

std::vector<OutgoingGossip> Membership::tick(Instant Now) {
  std::vector<OutgoingGossip> Out;
  this->noteOwnPause(Now);
  this->checkProbe(Now, Out);
  this->expireSuspicions(Now);
  if (Now < this->NextPeriod)
    return Out;
  this->NextPeriod = Now + config::GossipPeriod;
  this->forgetDead(Now);
  for (auto At = this->Relays.begin(); At != this->Relays.end();)
    At = Now - At->second.Sent > config::GossipPeriod * 4
             ? this->Relays.erase(At)
             : std::next(At);
  if (!this->Pending)
    this->startProbe(Now, Out);
  return Out;
}

// Messages -----------------------------------------------------------------

void Membership::answer(const Ping &Asked, const GossipMessage &Message,
                        std::vector<OutgoingGossip> &Out) {
  Out.push_back({Message.From.Endpoint, this->compose(Ack{Asked.Sequence})});
}

void Membership::answer(const PingRequest &Asked, const GossipMessage &Message,
                        Instant Now, std::vector<OutgoingGossip> &Out) {
  const std::uint64_t Sequence = this->NextSequence++;
  this->Relays[Sequence] = {Message.From.Endpoint, Asked.Sequence, Now};
  Out.push_back({Asked.Target, this->compose(Ping{Sequence})});
}

void Membership::answer(const Ack &Given, std::vector<OutgoingGossip> &Out) {
  const auto Relayed = this->Relays.find(Given.Sequence);
  if (Relayed != this->Relays.end()) {
    Out.push_back(
        {Relayed->second.Asker, this->compose(Ack{Relayed->second.Sequence})});
    this->Relays.erase(Relayed);
    return;
  }
  if (!this->Pending || this->Pending->Sequence != Given.Sequence)
    return;
  this->Pending.reset();
  this->Slowness = std::max(0, this->Slowness - 1);
}

std::vector<OutgoingGossip> Membership::receive(const GossipMessage &Message,
                                                Instant Now) {
  std::vector<OutgoingGossip> Out;
  this->apply(Message.From, Now);
  for (const Member &Claim : Message.Updates)
    this->apply(Claim, Now);
  this->repairDifference(Message.MembersDigest);
  if (const auto *Asked = std::get_if<Ping>(&Message.Body))
    this->answer(*Asked, Message, Out);
  else if (const auto *Request = std::get_if<PingRequest>(&Message.Body))
    this->answer(*Request, Message, Now, Out);
  else if (const auto *Given = std::get_if<Ack>(&Message.Body))
    this->answer(*Given, Out);
  // A sender that is held for dead must hear so, to refute it.
  for (OutgoingGossip &Each : Out)
    if (Each.To == Message.From.Endpoint)
      this->addClaimAbout(Each.To, Each.Message);
  return Out;
}

std::vector<OutgoingGossip> Membership::leave(Instant /*Now*/) {
  this->Self.State = MemberState::Left;
  std::vector<OutgoingGossip> Out;
  for (const Address &Where : this->sample(config::LeaveMessages)) {
    Out.push_back({Where, this->compose(Ping{this->NextSequence++})});
    Out.back().Message.Updates.push_back(this->Self);
  }
  return Out;
}

} // namespace siskinstage
