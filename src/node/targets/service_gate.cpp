#include "node/targets/service_gate.h"
#include "net/boot_time.h"
#include "net/timer_queue.h"
#include "node/drain_state.h"
#include "node/snapshot_holder.h"
#include "node/targets/target_gauge.h"
#include "siskinstage/config.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace siskinstage {

namespace {

/// Bytes that the waiting requests of a service may hold: those of the longest
/// queue without bodies, 82 MB. An idle node leaves 94 of the 112 MB of the
/// smallest machine.
constexpr std::uint64_t MaxWaitingBytes =
    config::MaxQueuePerService * config::WaitingRequestBytes;

/// A request's properties that decide which targets may receive it.
struct SearchTraits {
  std::set<TargetId> Tried;
  Repeatability Kind;
  bool LargeBody;
  bool operator==(const SearchTraits &) const = default;
};

SearchTraits traitsOf(const PlacementParams &Params) {
  return {Params.Tried, Params.Kind, Params.LargeBody};
}

GateRejection::Refusal refusalOf(Rejected::Reason Why) {
  switch (Why) {
  case Rejected::Reason::Full:
    return GateRejection::Refusal::QueueFull;
  case Rejected::Reason::TooLate:
    return GateRejection::Refusal::TooLate;
  case Rejected::Reason::Displaced:
    return GateRejection::Refusal::Displaced;
  }
  return GateRejection::Refusal::QueueFull;
}

std::optional<Duration> roomAfter(const Rejected &Gone) {
  if (Gone.RetryAfter == Duration::zero())
    return std::nullopt;
  return Gone.RetryAfter;
}

void runAll(const std::vector<std::function<void()>> &Calls) {
  for (const std::function<void()> &Call : Calls)
    Call();
}

bool isNear(const TargetView &Target, const PlacementParams &Params) {
  return !Params.OwnDomain.empty() && Target.Spec.Domain == Params.OwnDomain;
}

} // namespace

ServiceGate::ServiceGate(ServiceName Name, std::uint64_t Seed)
    : Name(std::move(Name)), Selection(makePolicy(RoutingPolicy::TwoChoices)),
      Rng(Seed), Budget(config::RetryBudgetFraction, config::RetryBudgetBurst),
      Queue(Seed) {
  this->Queue.configure(
      {config::MaxQueuePerService, MaxWaitingBytes, config::MaxQueueWait});
}

void ServiceGate::configure(RoutingPolicy Policy, const RetryShare &Retries) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  if (Policy != this->SelectionName) {
    this->SelectionName = Policy;
    this->Selection = makePolicy(Policy);
  }
  this->Budget.configure(Retries.Fraction, Retries.Burst);
  if (!this->Configured)
    this->Budget.setRetries(Retries.Start);
  this->Configured = true;
}

TargetChoice ServiceGate::choices(const ServiceView &View,
                                  const PlacementParams &Params, Instant Now) {
  TargetChoice Choice({Params.Kind, Params.LargeBody, Params.Tried.empty(),
                       Params.Deadline - Now},
                      {View.MedianLatency, View.HighLatency}, Now, this->Rng);
  const bool Restricted = usesOnlyOwnSlots(View);
  const double Urgency = this->urgency(View, Now);
  for (std::uint32_t I = 0; I < View.Targets.size(); ++I) {
    const TargetView &Target = View.Targets[I];
    const bool Available =
        Target.Verdict.Admitted && !Target.Gauge->AnnouncedLeaving.load();
    if (!Available)
      continue;
    updateNotices(View, Target, Now);
    const TargetGauge &Gauge = *Target.Gauge;
    Choice.add(
        {I, Gauge.InFlight.load(), Gauge.knownLoad(Now), slotsOf(View, Target),
         std::min(Target.Verdict.Share,
                  Gauge.Notices.rateLimit().loadShare(Now)),
         isNear(Target, Params), Gauge.Gray.probability(Now), &Gauge.Started,
         Target.SendsTrialRequests, Now - Gauge.LastPlaced,
         Gauge.Notices.allows(Now), !Restricted || Target.SendsTrialRequests,
         Target.IsTrialDeputy, Gauge.Gray.evidenceAge(Now), Urgency},
        Params.Tried.count(Target.Spec.Id) > 0, Gauge.Notices.restricts(Now));
  }
  return Choice;
}

std::optional<ServiceGate::Rejection>
ServiceGate::checkNotices(const ServiceView &View, const Shortage &Reason,
                          std::size_t Ahead, Instant Deadline, Instant Now) {
  if (!Reason.Restricted || Reason.UnrestrictedTarget)
    return std::nullopt;
  const Duration Longest = std::min<Duration>(
      std::max(Deadline - Now, Duration::zero()) - View.MedianLatency,
      config::MaxQueueWait);
  const auto Wait = restrictedWait(roomsOf(View, Now), Ahead, Longest);
  if (!Wait)
    return std::nullopt;
  return Rejection{Refusal::Restricted, *Wait};
}

bool ServiceGate::isPastDrain(const PlacementParams &Request, Instant Now) {
  return Request.Drain != nullptr &&
         Now >= Request.Drain->sendLimit(Request.Deadline) &&
         Now < Request.Deadline;
}

TargetLease ServiceGate::take(const ServiceView &View, const TargetView &Target,
                              Instant Now) {
  TargetGauge &Gauge = *Target.Gauge;
  Gauge.addPlacement();
  Gauge.Started.push_back(Now);
  Gauge.Notices.take(Now);
  const Duration Idle = Now - std::exchange(Gauge.LastPlaced, Now);
  const double Gray = Gauge.Gray.probability(Now);
  return {this->shared_from_this(),
          Target,
          {Now, Idle, Gray,
           Gray >= config::GrayThreshold ? this->urgency(View, Now) : 0}};
}

ServiceGate::Attempt ServiceGate::attempt(const ServiceView &View,
                                          const PlacementParams &Params,
                                          std::size_t Ahead, Instant Now) {
  Attempt Made;
  const TargetChoice Choice = this->choices(View, Params, Now);
  Made.Reason = Choice.shortage();
  const auto Chosen = pick(this->Selection, Choice.candidates(), this->Rng);
  if (!Chosen) {
    if (Made.Reason.NoFreeSlot)
      Made.Refused =
          checkNotices(View, Made.Reason, Ahead, Params.Deadline, Now);
    else
      Made.Refused = Rejection{Refusal::NoTarget, {}};
    return Made;
  }
  Made.Lease = this->take(View, View.Targets[*Chosen], Now);
  return Made;
}

void ServiceGate::decide(WaitId Id, SlotWait::Result Decision, Search &Run) {
  const auto Found = this->Waiting.find(Id.Value);
  if (Found == this->Waiting.end())
    return;
  SlotWait::Entry &Entry = *Found->second;
  Entry.Decided = std::move(Decision);
  Run.Wakeups.push_back(std::exchange(Entry.Wake, nullptr));
  this->Waiting.erase(Found);
}

void ServiceGate::reject(const std::vector<Rejected> &Gone, Search &Run) {
  for (const Rejected &One : Gone)
    this->decide(One.Id,
                 tl::unexpected<Rejection>(
                     Rejection{refusalOf(One.Why), roomAfter(One)}),
                 Run);
}

bool ServiceGate::assignSlot(Search &Run) {
  std::optional<TargetLease> Lease;
  std::vector<std::pair<WaitId, Rejection>> Refused;
  std::vector<SearchTraits> Failed;
  std::size_t Ahead = 0;
  bool NoSlot = false;
  const auto Chosen = this->Queue.next(Run.Now, [&](WaitId Id) {
    if (NoSlot)
      return false;
    const PlacementParams &Params = this->Waiting.at(Id.Value)->Request;
    // Requests with the same traits find the same targets, so that one search
    // decides for all of them.
    if (std::count(Failed.begin(), Failed.end(), traitsOf(Params)) > 0)
      return false;
    Attempt Made = this->attempt(*Run.View, Params, Ahead++, Run.Now);
    Lease = std::move(Made.Lease);
    if (Lease)
      return true;
    if (Made.Refused)
      Refused.emplace_back(Id, *Made.Refused);
    else if (!Made.Reason.Restricted)
      Failed.push_back(traitsOf(Params));
    NoSlot = !Made.Refused && !Made.Reason.UsableByOthers;
    return false;
  });
  if (Chosen)
    this->decide(*Chosen, std::move(*Lease), Run);
  for (auto &[Id, Reason] : Refused) {
    this->Queue.remove(Id);
    this->decide(Id, tl::unexpected<Rejection>(Reason), Run);
  }
  return Chosen || !Refused.empty();
}

void ServiceGate::assignSlots(Search &Run) {
  if (!Run.View) {
    while (!this->Waiting.empty()) {
      const WaitId Id = this->Waiting.begin()->second->Id;
      this->Queue.remove(Id);
      this->decide(Id,
                   tl::unexpected<Rejection>(Rejection{Refusal::NoService, {}}),
                   Run);
    }
    return;
  }
  while (this->Queue.size() > 0 && this->assignSlot(Run))
    continue;
}

void ServiceGate::rejectPastDrain(Search &Run) {
  std::vector<WaitId> Past;
  for (const auto &[Id, Entry] : this->Waiting)
    if (isPastDrain(Entry->Request, Run.Now))
      Past.push_back(Entry->Id);
  for (const WaitId Id : Past) {
    this->Queue.remove(Id);
    this->decide(
        Id, tl::unexpected<Rejection>(Rejection{Refusal::Draining, {}}), Run);
  }
}

void ServiceGate::serveQueue(Search &Run) {
  if (this->Waiting.empty())
    return;
  const SlotWait::Entry &Any = *this->Waiting.begin()->second;
  Run.View = Any.Snapshots->get()->service(this->Name);
  if (Any.Request.Drain != nullptr && Any.Request.Drain->active())
    this->rejectPastDrain(Run);
  if (Run.View)
    this->reject(this->Queue.expire(roomOf(roomsOf(*Run.View, Run.Now),
                                           Run.View->MedianLatency),
                                    Run.Now),
                 Run);
  this->assignSlots(Run);
}

ServiceGate::AcquireResult ServiceGate::acquire(const SnapshotHolder &Snapshots,
                                                const PlacementParams &Params,
                                                std::function<void()> Wake,
                                                Instant Now) {
  Search Run{Snapshots.get()->service(this->Name), Now, {}};
  if (!Run.View)
    return Rejection{Refusal::NoService, {}};
  if (isPastDrain(Params, Now))
    return Rejection{Refusal::Draining, {}};
  auto Entry = std::make_shared<SlotWait::Entry>();
  std::optional<SlotWait::Result> Decided;
  {
    const std::lock_guard<std::mutex> Guard(this->Lock);
    const TargetChoice Choice = this->choices(*Run.View, Params, Now);
    if (Choice.candidates().empty()) {
      if (!Choice.shortage().NoFreeSlot)
        return Rejection{Refusal::NoTarget, {}};
      if (auto Refused = checkNotices(*Run.View, Choice.shortage(),
                                      this->Queue.size(), Params.Deadline, Now))
        return *Refused;
    }
    Entry->Id = {this->NextWait++};
    Entry->Request = Params;
    Entry->Snapshots = &Snapshots;
    Entry->Wake = [] {}; // The result of a decision below is returned.
    this->Waiting.emplace(Entry->Id.Value, Entry);
    const Room Space = roomOf(roomsOf(*Run.View, Now), Run.View->MedianLatency);
    this->reject(this->Queue.add({Entry->Id, Params.Account, Params.Priority,
                                  Now, Params.Deadline, Params.Objective,
                                  this->expectedWork(*Run.View, Params, Now),
                                  Params.Bytes},
                                 Space, Now),
                 Run);
    this->assignSlots(Run);
    Decided = std::exchange(Entry->Decided, std::nullopt);
    if (!Decided) {
      Entry->Wake = std::move(Wake);
      this->schedulePoll(Params.Timers, Now);
    }
  }
  runAll(Run.Wakeups);
  if (!Decided)
    return SlotWait(this->shared_from_this(), std::move(Entry));
  if (*Decided)
    return std::move(**Decided);
  return Decided->error();
}

std::optional<TargetLease>
ServiceGate::tryAcquireRetry(const SnapshotHolder &Snapshots,
                             const PlacementParams &Params, RetrySlot Wanted,
                             Instant Now) {
  Search Run{Snapshots.get()->service(this->Name), Now, {}};
  if (!Run.View || isPastDrain(Params, Now))
    return std::nullopt;
  std::optional<TargetLease> Lease;
  {
    const std::lock_guard<std::mutex> Guard(this->Lock);
    this->assignSlots(Run);
    std::vector<Candidate> Free =
        this->choices(*Run.View, Params, Now).candidates();
    if (Wanted == RetrySlot::ProbablyHealthy)
      Free.erase(std::remove_if(Free.begin(), Free.end(),
                                [](const Candidate &Option) {
                                  return !isHealthyWithFreeSlot(Option);
                                }),
                 Free.end());
    const auto Chosen = pick(this->Selection, Free, this->Rng);
    if (Chosen && this->Budget.takeRetry())
      Lease = this->take(*Run.View, Run.View->Targets[*Chosen], Now);
  }
  runAll(Run.Wakeups);
  return Lease;
}

void ServiceGate::schedulePoll(TimerQueue *Timers, Instant Now) {
  if (Timers == nullptr || this->PollDue || this->Waiting.empty())
    return;
  this->PollDue = true;
  Timers->callAt(Now + config::QueuePollPeriod,
                 [Weak = this->weak_from_this()] {
                   if (const auto Gate = Weak.lock())
                     Gate->poll(bootNow());
                 });
}

void ServiceGate::poll(Instant Now) {
  Search Run{nullptr, Now, {}};
  {
    const std::lock_guard<std::mutex> Guard(this->Lock);
    this->PollDue = false;
    if (this->Waiting.empty())
      return;
    TimerQueue *const Timers = this->Waiting.begin()->second->Request.Timers;
    this->serveQueue(Run);
    this->schedulePoll(Timers, Now);
  }
  runAll(Run.Wakeups);
}

void ServiceGate::release(TargetGauge &Gauge, Instant Placed) {
  Search Run{nullptr, bootNow(), {}};
  {
    const std::lock_guard<std::mutex> Guard(this->Lock);
    const auto Position =
        std::find(Gauge.Started.begin(), Gauge.Started.end(), Placed);
    if (Position != Gauge.Started.end())
      Gauge.Started.erase(Position);
    this->serveQueue(Run);
  }
  runAll(Run.Wakeups);
}

std::optional<SlotWait::Result>
ServiceGate::takeDecision(SlotWait::Entry &Entry) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  return std::exchange(Entry.Decided, std::nullopt);
}

void ServiceGate::withdraw(const SlotWait::Entry &Entry) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  this->Queue.remove(Entry.Id);
  this->Waiting.erase(Entry.Id.Value);
}

void ServiceGate::addFirstAttempt() {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  this->Budget.addFirstAttempt();
  this->Unserved.addArrival(bootNow());
}

void ServiceGate::addUnserved() {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  this->Unserved.addUnserved(bootNow());
}

void ServiceGate::takeBackUnserved() {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  this->Unserved.takeBackUnserved(bootNow());
}

bool ServiceGate::takeRetry() {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  return this->Budget.takeRetry();
}

ServiceGate::Stats ServiceGate::stats() {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  return {static_cast<std::uint32_t>(this->Queue.size()),
          this->Budget.retriesLeft(),
          this->Order == WaitQueue::OrderKind::Worth};
}

} // namespace siskinstage
