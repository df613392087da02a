#include "core/requests/fleet_quota.h"
#include "siskinstage/config.h"

#include <algorithm>
#include <cmath>

namespace siskinstage {

namespace {

Millis inMillis(Duration Time) {
  return std::chrono::duration_cast<Millis>(Time);
}

constexpr double MilliPerToken = 1000;
/// Loans that would be renewed within this time go with an earlier request to
/// the same node.
constexpr Millis EarlyRenewal{1500};
/// Requests for loans and contacts that a node sends per second on average: at
/// 350 bytes, and as many responses, they leave room for the other gossip
/// within 3 KB/s.
constexpr double RequestsPerSecond = 3;
/// Part of its own claim that a node keeps for new demand. With 0.15, callers
/// that had moved were refused twice as often; with 0.4, an account at one node
/// alone was refused within its quota.
constexpr double KeepFraction = 0.3;

/// The parts that make up a fraction, rounded up.
QuotaParts partsOf(double Fraction) {
  return static_cast<QuotaParts>(
      std::ceil(Fraction * static_cast<double>(WholeQuota)));
}

} // namespace

FleetQuota::FleetQuota(Address Self, Incarnation Process, Instant Now)
    : Self(Self), Rng(Process.Value), Shares(std::move(Self), Now),
      // A response to an earlier process has none of this one's numbers.
      NextSequence((Process.Value >> 16U) + 1),
      SendTokens(config::QuotaRequestBurst), LastTick(Now) {}

QuotaParts FleetQuota::needOf(const Account &Known, Instant Now) const {
  return Known.Bucket ? partsOf(Known.Bucket->need(Now)) : 0;
}

QuotaParts FleetQuota::spareOf(const Account &Known, Instant Now) const {
  const QuotaParts Own = this->Shares.claim();
  QuotaParts Kept =
      static_cast<QuotaParts>(static_cast<double>(Own) * KeepFraction);
  Kept = std::max(Kept, this->needOf(Known, Now));
  if (Known.Bucket && Known.Bucket->lastDemand() != Instant())
    Kept = std::max(Kept, partsOf(Known.Bucket->leastClaim()));
  return std::max<QuotaParts>(Own - Kept, 0);
}

QuotaParts FleetQuota::ownPart(const Account &Known, Instant Now) const {
  // The process may have been frozen since the shares were last updated.
  if (Now >= this->Shares.claimUntil())
    return 0;
  return std::max<QuotaParts>(this->Shares.claim() - Known.Loans.lent(Now), 0);
}

void FleetQuota::setClaim(Account &Known, Instant Now) {
  if (!Known.Bucket)
    return;
  const QuotaParts Parts =
      this->ownPart(Known, Now) + Known.Loans.borrowed(Now);
  Instant Until = Now + config::QuotaTickTimeout;
  if (Now < this->Shares.claimUntil())
    Until = std::min(Until, this->Shares.claimUntil());
  Known.Bucket->setClaim(static_cast<double>(Parts) /
                             static_cast<double>(WholeQuota),
                         Known.Loans.validUntil(Until, Now), Now);
}

AccountQuota::Decision
FleetQuota::admit(QuotaAccount Id, const QuotaLimits &Total, Instant Now) {
  auto Found = this->Accounts.find(Id);
  if (Found == this->Accounts.end()) {
    if (this->Accounts.size() >= config::MaxQuotaAccounts) {
      ++this->Full;
      return {false, config::MaxQuotaRetryAfter};
    }
    Found = this->Accounts.try_emplace(Id).first;
  }
  Account &Known = Found->second;
  if (!Known.Bucket) {
    Known.Bucket.emplace(Total, this->Shares.claimSince());
    this->setClaim(Known, Now);
  } else if (Now > Known.Bucket->validUntil()) {
    this->setClaim(Known, Now);
  }
  Known.Bucket->configure(Total, Now);
  return Known.Bucket->admit(Now, this->Rng);
}

void FleetQuota::giveBack(QuotaAccount Id) {
  const auto Found = this->Accounts.find(Id);
  if (Found != this->Accounts.end() && Found->second.Bucket)
    Found->second.Bucket->giveBack();
}

QuotaParts FleetQuota::shareOfLenders() const {
  return WholeQuota / std::max<QuotaParts>(this->Shares.countedNodes(), 1);
}

void FleetQuota::sendRecalls(QuotaAccount Id,
                             const std::vector<QuotaRecall> &Lowered,
                             std::vector<OutgoingQuota> &Out) const {
  for (const QuotaRecall &Item : Lowered) {
    QuotaResponse Response = this->newResponse(Item.Echo);
    Response.Loans.push_back({Id, Item.Amount, 0});
    Out.push_back({Item.Node, std::move(Response)});
  }
}

void FleetQuota::plan(QuotaAccount Id, Account &Known,
                      const std::vector<Address> &Lenders, Instant Now,
                      std::vector<OutgoingQuota> &Out) {
  const QuotaParts Need = this->needOf(Known, Now);
  const QuotaParts Spare = this->spareOf(Known, Now);
  // Loans that are not used here are called back only when they are missed.
  if (Known.Loans.lent(Now) > Spare &&
      (!Known.Bucket || Known.Bucket->low(Now)))
    this->sendRecalls(Id, Known.Loans.recall(Spare, Now), Out);
  // More is borrowed only when the bucket gets low: it covers short peaks.
  QuotaParts Missing =
      std::max<QuotaParts>(Need - this->ownPart(Known, Now), 0);
  if (!Known.Bucket || !Known.Bucket->low(Now))
    Missing = std::min(Missing, Known.Loans.borrowed(Now));
  Known.Loans.setTarget(Missing, Lenders, this->shareOfLenders(), Now);
  this->setClaim(Known, Now);
}

std::optional<QuotaRequest> FleetQuota::request(const Address &To,
                                                Instant Now) {
  Peer &Known = this->Peers[To];
  if (Known.Waiting && Now - Known.SentAt < config::QuotaResponseTimeout)
    return std::nullopt;
  const bool Due = std::any_of(
      this->Accounts.begin(), this->Accounts.end(), [&](const auto &Item) {
        return Item.second.Loans.due(To, Duration::zero(), Now);
      });
  const bool Withdraws =
      Known.ToldClaim && !this->Shares.claims() && !this->lends(Now);
  if (!Due && !Withdraws && !this->Shares.mustContact(To, Known.SentAt, Now))
    return std::nullopt;
  QuotaRequest Request;
  Request.Sequence = this->NextSequence;
  for (auto &[Id, Item] : this->Accounts) {
    if (Request.Asks.size() >= config::QuotaItemsPerMessage)
      break;
    if (!Item.Loans.due(To, EarlyRenewal, Now))
      continue;
    Request.Asks.push_back(Item.Loans.ask(To, Request.Sequence, Now));
    Request.Asks.back().Account = Id;
    if (Item.Bucket) {
      Request.Asks.back().PerSecond = Item.Bucket->limits().PerSecond;
      Request.Asks.back().Burst = Item.Bucket->limits().Burst;
    }
    this->setClaim(Item, Now);
  }
  Request.Claims = this->Shares.claims();
  Request.Withdraws = Withdraws;
  Known.ToldClaim = Known.ToldClaim || Request.Claims;
  Known.ToldWithdrawn = Withdraws;
  Request.ClaimsForMs =
      static_cast<std::uint64_t>(inMillis(this->Shares.wantedFor(Now)).count());
  Known.Sent = this->NextSequence++;
  Known.SentAt = Now;
  Known.Waiting = true;
  return Request;
}

bool FleetQuota::lends(Instant Now) const {
  return std::any_of(
      this->Accounts.begin(), this->Accounts.end(),
      [Now](const auto &Item) { return Item.second.Loans.lent(Now) > 0; });
}

std::vector<OutgoingQuota> FleetQuota::tick(Instant Now) {
  std::vector<OutgoingQuota> Out;
  this->SendTokens = std::min(
      config::QuotaRequestBurst,
      this->SendTokens +
          RequestsPerSecond *
              std::chrono::duration<double>(Now - this->LastTick).count());
  this->LastTick = Now;
  this->Shares.setInUse(!this->Accounts.empty());
  this->Shares.update(Now);
  const std::vector<Address> Lenders = this->Shares.lenders();
  for (auto Item = this->Accounts.begin(); Item != this->Accounts.end();) {
    Account &Known = Item->second;
    this->plan(Item->first, Known, Lenders, Now, Out);
    const bool Loaned = Known.Loans.expire(Now);
    // A new bucket begins as full as the time since the claim began allows.
    const bool Idle = !Known.Bucket || (Now - Known.Bucket->lastDemand() >
                                            config::QuotaIdleTime &&
                                        Known.Bucket->full(Now));
    Item = !Loaned && Idle ? this->Accounts.erase(Item) : std::next(Item);
  }
  // Each tick begins with another node, so that none waits for good.
  std::vector<Address> Others = this->Shares.others();
  if (!Others.empty())
    std::rotate(Others.begin(),
                Others.begin() +
                    static_cast<std::ptrdiff_t>(this->Rng.below(
                        static_cast<std::uint32_t>(Others.size()))),
                Others.end());
  for (const Address &To : Others) {
    // A node that starts contacts all others at once.
    if (this->SendTokens < 1 && !this->Shares.waits())
      break;
    auto Request = this->request(To, Now);
    if (!Request)
      continue;
    this->SendTokens = std::max(0.0, this->SendTokens - 1);
    Out.push_back({To, std::move(*Request)});
  }
  return Out;
}

bool FleetQuota::notePeer(const Address &From, Incarnation Process) {
  Peer &Known = this->Peers[From];
  if (Known.Process == Process)
    return true;
  if (Known.Before == Process)
    return false;
  Known.Before = Known.Process;
  Known.Process = Process;
  Known.Received = 0;
  for (auto &[Id, Item] : this->Accounts)
    Item.Loans.forgetProcess(From);
  return true;
}

QuotaResponse FleetQuota::newResponse(std::uint64_t Echo) const {
  QuotaResponse Response;
  Response.Echo = Echo;
  Response.Nodes = this->Shares.countedNodes();
  Response.LifeMs =
      static_cast<std::uint64_t>(inMillis(this->Shares.loanTime()).count());
  return Response;
}

std::vector<OutgoingQuota> FleetQuota::receive(const Address &From,
                                               Incarnation Process,
                                               const QuotaMessage &Message,
                                               Instant Now) {
  std::vector<OutgoingQuota> Out;
  if (!this->notePeer(From, Process))
    return Out;
  if (const auto *Request = std::get_if<QuotaRequest>(&Message))
    this->handle(From, *Request, Now, Out);
  else
    this->handle(From, std::get<QuotaResponse>(Message), Now);
  return Out;
}

QuotaLoan FleetQuota::lend(const Address &To, std::uint64_t Sequence,
                           const QuotaAsk &Asked, Duration Life, Instant Now,
                           std::vector<OutgoingQuota> &Out) {
  Account &Item = this->Accounts[Asked.Account];
  if (!Item.Bucket)
    Item.Bucket.emplace(QuotaLimits{Asked.PerSecond, Asked.Burst},
                        this->Shares.claimSince());
  this->setClaim(Item, Now);
  const bool Claimed = Now < this->Shares.claimUntil();
  const QuotaParts Free = Claimed ? this->Shares.claim() : 0;
  const QuotaParts Spare = Claimed ? this->spareOf(Item, Now) : 0;
  const QuotaParts Own = this->ownPart(Item, Now);
  const QuotaParts Before = Item.Loans.lent(Now);
  QuotaLoan Loan = {Asked.Account, 0, 0};
  Loan.Amount = Item.Loans.lend(To, Sequence, Asked, Spare, Free, Life, Now);
  const QuotaParts More = Item.Loans.lent(Now) - Before;
  if (More > 0 && Own > 0)
    Loan.MilliTokens = static_cast<std::int64_t>(
        MilliPerToken *
        Item.Bucket->takePart(
            static_cast<double>(More) / static_cast<double>(Own), Now));
  if (Loan.Amount < Asked.Ask)
    this->sendRecalls(Asked.Account, Item.Loans.makeFair(Spare, Now), Out);
  this->setClaim(Item, Now);
  return Loan;
}

void FleetQuota::handle(const Address &From, const QuotaRequest &Request,
                        Instant Now, std::vector<OutgoingQuota> &Out) {
  Peer &Known = this->Peers[From];
  if (Request.Sequence <= Known.Received)
    return;
  Known.Received = Request.Sequence;
  const bool KnownBefore =
      this->Shares.knewBefore(From, Millis(Request.ClaimsForMs), Now);
  if (Request.Claims)
    this->Shares.noteClaimant(From, Now);
  if (Request.Withdraws)
    this->Shares.noteWithdrawn(From, Now);
  QuotaResponse Response = this->newResponse(Request.Sequence);
  Response.KnownBefore = KnownBefore;
  const Millis Life(Response.LifeMs);
  for (const QuotaAsk &Asked : Request.Asks) {
    if (this->Accounts.count(Asked.Account) == 0 &&
        this->Accounts.size() >= config::MaxQuotaAccounts)
      continue;
    Response.Loans.push_back(
        this->lend(From, Request.Sequence, Asked, Life, Now, Out));
  }
  Out.push_back({From, std::move(Response)});
}

void FleetQuota::handle(const Address &From, const QuotaResponse &Response,
                        Instant Now) {
  Peer &Known = this->Peers[From];
  std::optional<Instant> SentAt;
  if (Known.Waiting && Response.Echo == Known.Sent) {
    Known.Waiting = false;
    Known.ToldClaim = Known.ToldClaim && !Known.ToldWithdrawn;
    SentAt = Known.SentAt;
    this->Shares.noteResponse(From, Known.SentAt, Response, Now);
  }
  for (const QuotaLoan &Loan : Response.Loans) {
    const auto Found = this->Accounts.find(Loan.Account);
    if (Found == this->Accounts.end())
      continue;
    Account &Item = Found->second;
    const bool New =
        Item.Loans.borrow(From, Response, Loan.Amount, SentAt, Now);
    this->setClaim(Item, Now);
    if (New && Item.Bucket)
      Item.Bucket->add(static_cast<double>(Loan.MilliTokens) / MilliPerToken,
                       Now);
  }
}

FleetQuota::Stats FleetQuota::stats() const {
  return {this->Accounts.size(), this->Shares.claim(),
          this->Shares.countedNodes(), this->Full};
}

FleetQuota::AccountView FleetQuota::view(QuotaAccount Id, Instant Now) const {
  const auto Found = this->Accounts.find(Id);
  if (Found == this->Accounts.end())
    return {this->Shares.claim()};
  const Account &Known = Found->second;
  AccountView View;
  View.Lent = Known.Loans.lent(Now);
  View.Own = std::max<QuotaParts>(this->Shares.claim() - View.Lent, 0);
  View.Borrowed = Known.Loans.borrowed(Now);
  if (Known.Bucket) {
    View.Tokens = Known.Bucket->tokens(Now);
    View.Need = Known.Bucket->need(Now);
  }
  return View;
}

} // namespace siskinstage
