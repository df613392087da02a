#include "core/requests/worth_order.h"
#include "siskinstage/config.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace siskinstage {

namespace {

using Seconds = std::chrono::duration<double>;

/// Worth of a request relative to one with the next higher priority and the
/// same work. With 0.8 to 0.95 the replays reach 0.95 of the ideal; with 0.5
/// they reach 0.79, as half of the work then goes to requests that need more.
constexpr double PriorityStep = 0.87;
/// A response takes up to about this many times its estimated work: a request
/// that starts later than this before its objective may miss it. Of 1.3 to 2.0
/// the lowest two do equally well in the replays, the highest 0.5% worse.
constexpr double ObjectiveMargin = 1.3;
constexpr double DeadlineMargin = 1.2;
/// Worth of a late response relative to one in time.
constexpr double LateWorth = 0.3;
/// Overuse of a share up to this costs an account nothing, see
/// AccountShares::overuse(). At 1.5 the replays serve 0.83 instead of 0.76 of
/// the other accounts' requests, and 1.5% less value.
constexpr double AllowedOveruse = 2;
/// Requests of a kind or account that starves come before all others.
constexpr double StarvingFactor = 1e3;
/// Part of the capacity by which rejected requests return at least.
constexpr double MinReturnPart = 0.1;
/// A request behind less than this is kept even if others are expected to
/// crowd it out: at 50 ms the replays serve 0.7% less at full load.
constexpr Seconds MinQueue = std::chrono::milliseconds(400);
/// What waits is checked again after this: capacity may have gone.
constexpr Duration CheckPeriod = std::chrono::milliseconds(100);

Duration timesWork(Duration Work, double Factor) {
  return std::chrono::duration_cast<Duration>(Work * Factor);
}

double usualWorth(const WaitingRequest &Request) {
  const Duration Work = std::max<Duration>(Request.Work, Millis(1));
  return std::pow(PriorityStep, Request.Priority) / Seconds(Work).count();
}

} // namespace

void WorthOrder::advance(Instant Now) {
  this->Capacity.advance(Now, this->Slots, !this->Entries.empty());
  this->Checked = Now;
}

double WorthOrder::worth(const WaitingRequest &Request, Instant Now) const {
  double Worth = usualWorth(Request);
  if (Request.Account.empty())
    return this->ByPriority.starves(Request.Priority, Now)
               ? Worth * StarvingFactor
               : Worth;
  const double Overuse =
      this->Shares.overuse(Request.Account, Request.Work, Now);
  if (Overuse > AllowedOveruse)
    Worth *= std::pow(AllowedOveruse / Overuse, 2);
  if (this->ByPriority.starves(Request.Priority, Now) ||
      this->ByAccount.starves(Request.Account, Now))
    Worth *= StarvingFactor;
  return Worth;
}

double WorthOrder::spareRate(Instant Now) const {
  return std::max(0.0, this->Capacity.rate() - this->InTimeDemand.rate(Now));
}

void WorthOrder::countAdmitted(const Entry &Of, int Count, Instant Now) {
  this->Shares.admitted(Of.Account, Of.Place.Work * Count, Now);
  this->ByPriority.admitted(Of.Priority, Count, Now);
  if (!Of.Account.empty())
    this->ByAccount.admitted(Of.Account, Count, Now);
}

void WorthOrder::insert(const WaitingRequest &Request, Instant Now) {
  this->Shares.offered(Request.Account, Request.Work, Now);
  this->ByPriority.offered(Request.Priority, Now);
  if (!Request.Account.empty())
    this->ByAccount.offered(Request.Account, Now);
  Entry Made;
  Made.LastStart =
      std::min(Request.Deadline - timesWork(Request.Work, DeadlineMargin),
               Request.Arrived + this->MaxWait);
  const Instant Wanted =
      Request.Objective == Instant{}
          ? Made.LastStart
          : Request.Objective - timesWork(Request.Work, ObjectiveMargin);
  Made.Place = {Request.Id, std::min(Wanted, Made.LastStart),
                this->worth(Request, Now), Request.Work};
  Made.Account = Request.Account;
  Made.Worth = Made.Place.Worth;
  Made.Favored = Made.Worth > usualWorth(Request);
  Made.Priority = Request.Priority;
  this->InTime.add(Made.Place);
  this->InTimeDemand.add(Made.Worth, Seconds(Request.Work).count(), Now);
  this->countAdmitted(Made, 1, Now);
  this->Entries.emplace(Request.Id.Value, std::move(Made));
}

std::vector<Rejected> WorthOrder::add(const WaitingRequest &Request,
                                      const Room &Space, Instant Now) {
  this->Slots = Space.Slots;
  this->advance(Now);
  if (Now >= this->NextSweep) {
    this->NextSweep = Now + AccountShares::UsualTime;
    this->ByPriority.sweep(Now);
    this->ByAccount.sweep(Now);
  }
  this->insert(Request, Now);
  if (Space.Slots == 0)
    return {this->drop(Request.Id, Rejected::Reason::TooLate, Now)};
  if (this->isCrowdedOut(this->Entries.at(Request.Id.Value), Now))
    this->postpone(Request.Id, Now);
  return this->settle(Request.Id, Now);
}

bool WorthOrder::isCrowdedOut(const Entry &New, Instant Now) const {
  if (New.Favored)
    return false;
  const double Rate = this->Capacity.rate();
  const double Left = Rate - this->InTimeDemand.rateAbove(New.Worth, Now);
  const Seconds Ahead = this->InTime.workBefore(New.Place.LatestStart);
  return Ahead > Rate * MinQueue &&
         Ahead > Left * Seconds(New.Place.LatestStart - Now);
}

void WorthOrder::postpone(WaitId Id, Instant Now) {
  Entry &Moved = this->Entries.at(Id.Value);
  this->InTime.remove(Moved.Place);
  this->InTimeDemand.add(Moved.Worth, -Seconds(Moved.Place.Work).count(), Now);
  Moved.Late = true;
  Moved.Place.LatestStart = Moved.LastStart;
  Moved.Place.Worth *= LateWorth;
  this->Late.add(Moved.Place);
}

Rejected WorthOrder::drop(WaitId Id, Rejected::Reason Why, Instant Now) {
  const auto Found = this->Entries.find(Id.Value);
  const Entry &Dropped = Found->second;
  this->countAdmitted(Dropped, -1, Now);
  if (!Dropped.Late)
    this->InTimeDemand.add(Dropped.Worth, -Seconds(Dropped.Place.Work).count(),
                           Now);
  (Dropped.Late ? this->Late : this->InTime).remove(Dropped.Place);
  const double Rate = this->Capacity.rate();
  const auto Backlog = Seconds(this->InTime.work()) / std::max(Rate, 1e-3);
  const Duration After = this->Deferred.place(
      Dropped.Priority, Dropped.Place.Work,
      std::chrono::duration_cast<Duration>(
          std::min<Seconds>(Backlog, config::MaxWaitRetryAfter)),
      std::max(this->spareRate(Now), MinReturnPart * Rate), Now);
  this->Entries.erase(Found);
  return {Id, Why, After};
}

std::vector<Rejected> WorthOrder::settle(std::optional<WaitId> New,
                                         Instant Now) {
  std::vector<Rejected> Gone;
  const auto Displaced = [New](WaitId Id) {
    return New && Id != *New ? Rejected::Reason::Displaced
                             : Rejected::Reason::TooLate;
  };
  const double Rate = this->Capacity.rate();
  while (const auto Id = this->InTime.overdue(Now))
    this->postpone(*Id, Now);
  while (const auto Id = this->Late.overdue(Now))
    Gone.push_back(this->drop(*Id, Rejected::Reason::TooLate, Now));
  if (this->Slots == 0)
    return Gone;
  while (const auto Id = this->InTime.excess(Rate, Duration::zero(), Now))
    this->postpone(*Id, Now);
  const auto Ahead =
      std::chrono::duration_cast<Duration>(Seconds(this->InTime.work()) / Rate);
  while (const auto Id = this->Late.excess(this->spareRate(Now), Ahead, Now))
    Gone.push_back(this->drop(*Id, Displaced(*Id), Now));
  return Gone;
}

void WorthOrder::remove(const WaitingRequest &Request, Instant Now) {
  const auto Found = this->Entries.find(Request.Id.Value);
  if (Found == this->Entries.end())
    return;
  const Entry &Removed = Found->second;
  this->countAdmitted(Removed, -1, Now);
  if (!Removed.Late)
    this->InTimeDemand.add(Removed.Worth, -Seconds(Removed.Place.Work).count(),
                           Now);
  (Removed.Late ? this->Late : this->InTime).remove(Removed.Place);
  this->Entries.erase(Found);
}

void WorthOrder::start(const WaitingRequest &Request, Instant Now) {
  const auto Found = this->Entries.find(Request.Id.Value);
  if (Found == this->Entries.end())
    return;
  this->Capacity.started(Request.Work);
  this->advance(Now);
  const Entry &Started = Found->second;
  (Started.Late ? this->Late : this->InTime).remove(Started.Place);
  this->Entries.erase(Found);
}

void WorthOrder::visit(const std::function<bool(WaitId)> &Visit) const {
  bool Done = false;
  const auto VisitOne = [&Visit, &Done](WaitId Id) {
    Done = Visit(Id);
    return Done;
  };
  this->InTime.visit(VisitOne);
  if (!Done)
    this->Late.visit(VisitOne);
}

std::optional<Rejected> WorthOrder::dropOne(const WaitingRequest &New,
                                            Instant Now) {
  auto Least = this->Late.least();
  if (!Least)
    Least = this->InTime.least();
  if (!Least)
    return std::nullopt;
  return this->drop(*Least,
                    *Least == New.Id ? Rejected::Reason::Full
                                     : Rejected::Reason::Displaced,
                    Now);
}

std::vector<Rejected> WorthOrder::expire(const Room &Space, Instant Now) {
  this->Slots = Space.Slots;
  this->advance(Now);
  return this->settle(std::nullopt, Now);
}

std::optional<Instant> WorthOrder::nextExpiry() const {
  if (this->Entries.empty())
    return std::nullopt;
  Instant Next = this->Checked + CheckPeriod;
  for (const StartSchedule *Schedule : {&this->InTime, &this->Late})
    if (const auto Overdue = Schedule->nextOverdue())
      Next = std::min(Next, *Overdue);
  return Next;
}

} // namespace siskinstage
