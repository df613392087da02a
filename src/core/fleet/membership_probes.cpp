// The failure detector of Membership: whom it pings, and what a missing ack
// means.
#include "core/fleet/membership.h"
#include "siskinstage/config.h"

#include <algorithm>
#include <utility>

namespace siskinstage {

std::vector<Address> Membership::sampleOwnDomain() {
  std::vector<Address> OwnDomain = this->sample(this->Table.size());
  std::erase_if(OwnDomain, [this](const Address &Endpoint) {
    return this->Table.at(Endpoint).Current.Domain != this->Self.Domain;
  });
  return OwnDomain;
}

std::optional<Address> Membership::popLive(std::vector<Address> &Order) {
  while (!Order.empty()) {
    const Address Endpoint = Order.back();
    Order.pop_back();
    const auto Found = this->Table.find(Endpoint);
    if (Found != this->Table.end() && isLive(Found->second.Current.State))
      return Endpoint;
  }
  return std::nullopt;
}

std::optional<Address> Membership::nextProbeTarget() {
  const bool AcrossDomains =
      ++this->Periods % config::CrossDomainPingPeriods == 0;
  if (!AcrossDomains) {
    if (this->OwnDomainProbeOrder.empty())
      this->OwnDomainProbeOrder = this->sampleOwnDomain();
    if (const auto OwnDomain = this->popLive(this->OwnDomainProbeOrder))
      return OwnDomain;
  }
  if (this->ProbeOrder.empty())
    this->ProbeOrder = this->sample(this->Table.size());
  return this->popLive(this->ProbeOrder);
}

void Membership::startProbe(Instant Now, std::vector<OutgoingGossip> &Out) {
  if (const auto Target = this->nextProbeTarget()) {
    this->PendingProbe = Probe{*Target, this->NextSequence++, Now, false};
    Out.push_back({*Target, this->compose(Ping{this->PendingProbe->Sequence})});
    // A suspected target gets the suspicion with the ping, so that it can
    // refute it.
    this->addClaimAbout(*Target, Out.back().Message);
  }
  // A dead member may have been behind a network partition that has healed; a
  // seed that is not in the table may be in a part of the fleet that lost
  // contact. One of them is pinged in each period.
  std::vector<Address> Candidates;
  for (const auto &[Endpoint, Entry] : this->Table)
    if (Entry.Current.State == MemberState::Dead)
      Candidates.push_back(Endpoint);
  for (const Address &Seed : this->Seeds)
    if (Seed != this->Self.Endpoint && this->Table.count(Seed) == 0)
      Candidates.push_back(Seed);
  if (Candidates.empty())
    return;
  const auto Count = static_cast<std::uint32_t>(Candidates.size());
  const Address &Chosen = Candidates[this->RandomSource.below(Count)];
  Out.push_back({Chosen, this->compose(Ping{this->NextSequence++})});
  this->addClaimAbout(Chosen, Out.back().Message);
}

void Membership::addClaimAbout(const Address &Endpoint,
                               GossipMessage &Message) const {
  const auto Found = this->Table.find(Endpoint);
  if (Found != this->Table.end() &&
      Found->second.Current.State != MemberState::Alive)
    Message.Updates.push_back(Found->second.Current);
}

void Membership::checkProbe(Instant Now, std::vector<OutgoingGossip> &Out) {
  if (!this->PendingProbe)
    return;
  const Duration Elapsed = Now - this->PendingProbe->SentAt;
  const Duration AckTimeout = config::GossipAckTimeout * (this->Slowness + 1);
  if (!this->PendingProbe->IndirectSent && Elapsed >= AckTimeout) {
    this->PendingProbe->IndirectSent = true;
    for (const Address &Helper : this->sample(config::GossipIndirectProbes))
      if (Helper != this->PendingProbe->Target)
        Out.push_back(
            {Helper, this->compose(PingRequest{this->PendingProbe->Sequence,
                                               this->PendingProbe->Target})});
  }
  if (Elapsed < config::GossipPeriod * (this->Slowness + 1))
    return;
  const Address ProbeTarget = this->PendingProbe->Target;
  this->PendingProbe.reset();
  this->Slowness = std::min(this->Slowness + 1, config::MaxSlowness);
  this->suspect(ProbeTarget, Now);
}

void Membership::checkOwnPause(Instant Now) {
  const bool Paused = this->LastTick != Instant{} &&
                      Now - this->LastTick > config::GossipPauseThreshold;
  this->LastTick = Now;
  if (!Paused)
    return;
  // Acks may have been missed during the pause, so no member is suspected for
  // it and running suspicions start again.
  this->PendingProbe.reset();
  this->Slowness = config::MaxSlowness;
  for (auto &[Endpoint, Entry] : this->Table)
    if (Entry.Current.State == MemberState::Suspect)
      Entry.SuspectUntil = Now + this->suspicionTimeout(0);
}

std::vector<OutgoingGossip> Membership::tick(Instant Now) {
  std::vector<OutgoingGossip> Out;
  this->checkOwnPause(Now);
  this->checkProbe(Now, Out);
  this->expireSuspicions(Now);
  if (Now < this->NextPeriod)
    return Out;
  this->NextPeriod = Now + config::GossipPeriod;
  this->removeDead(Now);
  for (auto It = this->Relays.begin(); It != this->Relays.end();)
    It = Now - It->second.SentAt > config::GossipPeriod * 4
             ? this->Relays.erase(It)
             : std::next(It);
  if (!this->PendingProbe)
    this->startProbe(Now, Out);
  return Out;
}

} // namespace siskinstage
