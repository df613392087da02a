#include "node/targets/service_gate.h"
#include "core/targets/placement.h"
#include "net/boot_time.h"
#include "node/drain_state.h"
#include "node/snapshot_holder.h"
#include "node/targets/target_gauge.h"
#include "siskinstage/config.h"

#include <algorithm>
#include <iterator>
#include <memory>
#include <utility>

namespace siskinstage {

namespace {

RateLimitSource rateLimitSource(const ServiceView &View,
                                const TargetView &Target, const Address &Node) {
  const double PerSecond = Target.Gauge->Notices.rateLimit().state().PerSecond;
  return {Node,
          !View.Group || isInCharge(Node, PerSecond, *View.Group, Target.Spec)};
}

bool isNear(const TargetView &Target, const PlacementParams &Params) {
  return !Params.OwnDomain.empty() && Target.Spec.Domain == Params.OwnDomain;
}

} // namespace

TargetLease::TargetLease(std::shared_ptr<ServiceGate> Gate, TargetView Target,
                         Placement Placed)
    : Gate(std::move(Gate)), Target(std::move(Target)), Placed(Placed) {}

TargetLease::TargetLease(TargetLease &&Other) noexcept
    : Gate(std::move(Other.Gate)), Target(std::move(Other.Target)),
      Placed(Other.Placed) {
  Other.Gate.reset();
}

TargetLease &TargetLease::operator=(TargetLease &&Other) noexcept {
  if (this == &Other)
    return *this;
  this->release();
  this->Gate = std::move(Other.Gate);
  this->Target = std::move(Other.Target);
  this->Placed = Other.Placed;
  Other.Gate.reset();
  return *this;
}

TargetLease::~TargetLease() { this->release(); }

void TargetLease::release() {
  if (!this->Gate)
    return;
  this->Target.Gauge->InFlight.fetch_sub(1);
  this->Gate->release(*this->Target.Gauge, this->Placed.At);
  this->Gate.reset();
}

ServiceGate::ServiceGate(ServiceName Name, std::uint64_t Seed)
    : Name(std::move(Name)), Selection(makePolicy(RoutingPolicy::TwoChoices)),
      Rng(Seed), Budget(config::RetryBudgetFraction, config::RetryBudgetBurst) {
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

std::vector<Candidate> ServiceGate::candidates(const ServiceView &View,
                                               const PlacementParams &Params,
                                               Instant Now, Shortage &Reason) {
  const UsualLatency Usual = {View.MedianLatency, View.HighLatency};
  const RequestTraits Traits = {Params.Kind, Params.LargeBody,
                                Params.Tried.empty(), Params.Deadline - Now};
  std::vector<Candidate> Candidates;
  Reason = {};
  for (std::uint32_t I = 0; I < View.Targets.size(); ++I) {
    const TargetView &Target = View.Targets[I];
    const bool Available =
        Target.Verdict.Admitted && !Target.Gauge->AnnouncedLeaving.load();
    if (!Available)
      continue;
    updateNotices(View, Target, Now);
    const TargetGauge &Gauge = *Target.Gauge;
    const PlacementTarget State = {
        I,
        Gauge.InFlight.load(),
        Gauge.reportedLoad(Now),
        slotsOf(View, Target),
        std::min(Target.Verdict.Share,
                 Gauge.Notices.rateLimit().loadShare(Now)),
        isNear(Target, Params),
        Gauge.Gray.probability(Now),
        &Gauge.Started,
        Target.SendsTrialRequests,
        Now - Gauge.LastPlaced,
        Gauge.Notices.allows(Now)};
    const bool Tried = Params.Tried.count(Target.Spec.Id) > 0;
    const auto Option = Tried
                            ? std::nullopt
                            : candidateOf(State, Traits, Usual, Now, this->Rng);
    if (Option) {
      Candidates.push_back(*Option);
      continue;
    }
    Reason.NoFreeSlot = Reason.NoFreeSlot || !Tried;
    Reason.UsableByOthers =
        Reason.UsableByOthers || (hasSlot(State) && State.MayReceive);
    Reason.UnrestrictedTarget =
        Reason.UnrestrictedTarget || (!Tried && !Gauge.Notices.restricts(Now));
    Reason.Restricted =
        Reason.Restricted || (!Tried && hasSlot(State) && !State.MayReceive);
  }
  return Candidates;
}

std::optional<TargetLease>
ServiceGate::tryAcquire(const ServiceView &View, const PlacementParams &Params,
                        Shortage &Reason) {
  const Instant Now = bootNow();
  const auto Chosen = pick(
      this->Selection, this->candidates(View, Params, Now, Reason), this->Rng);
  if (!Chosen)
    return std::nullopt;
  const TargetView &Target = View.Targets[*Chosen];
  TargetGauge &Gauge = *Target.Gauge;
  Gauge.InFlight.fetch_add(1);
  Gauge.Requests.fetch_add(1);
  Gauge.Started.push_back(Now);
  Gauge.Notices.take(Now);
  const Duration Idle = Now - std::exchange(Gauge.LastPlaced, Now);
  return TargetLease(this->shared_from_this(), Target,
                     {Now, Idle, Gauge.Gray.probability(Now)});
}

ServiceGate::EstimateChange ServiceGate::addEvidence(TargetGauge &Gauge,
                                                     Evidence Kind) {
  const Instant Now = bootNow();
  const std::lock_guard<std::mutex> Guard(this->Lock);
  const double Before = Gauge.Gray.probability(Now);
  Gauge.Gray.update(Kind, Now);
  const bool Broadcast = Gauge.Gray.takeBroadcast(Kind, Now).has_value();
  return {Before, Gauge.Gray.probability(Now), Broadcast};
}

void ServiceGate::adopt(TargetGauge &Gauge, double GrayProbability) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  Gauge.Gray.adopt(GrayProbability, bootNow());
}

double ServiceGate::grayProbability(const TargetGauge &Gauge) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  return Gauge.Gray.probability(bootNow());
}

void ServiceGate::updateNotices(const ServiceView &View,
                                const TargetView &Target, Instant Now) {
  TargetGauge &Gauge = *Target.Gauge;
  Gauge.Notices.expire(Now);
  RateLimit &Limit = Gauge.Notices.rateLimit();
  if (!Limit.limited() ||
      (!Limit.needsShare() && Gauge.LimitGroup == View.Group))
    return;
  const ServingGroup Alone = {{SteeringNode{}}, {}};
  Gauge.LimitGroup = View.Group;
  Limit.setShare(rateShare(Limit.state().PerSecond,
                           View.Group ? *View.Group : Alone, Target.Spec,
                           Limit.holder()),
                 Now);
}

TargetNotices::Effect ServiceGate::hearNotices(const ServiceView &View,
                                               const TargetView &Target,
                                               const StatedNotices &Stated,
                                               Instant Sent, bool NotRun) {
  const Instant Now = bootNow();
  const std::lock_guard<std::mutex> Guard(this->Lock);
  RateLimitSource Self;
  if (Stated.find<RateLimitNotice>() != nullptr && View.Group)
    Self = rateLimitSource(View, Target, View.Group->Self);
  auto Made = Target.Gauge->Notices.hear(Stated, Sent, Self, NotRun, Now);
  updateNotices(View, Target, Now);
  return Made;
}

bool ServiceGate::adoptRateLimit(const ServiceView &View,
                                 const TargetView &Target,
                                 const RateLimitState &State,
                                 const Address &From) {
  const Instant Now = bootNow();
  const std::lock_guard<std::mutex> Guard(this->Lock);
  const bool Changed = Target.Gauge->Notices.adopt(
      State, rateLimitSource(View, Target, From), Now);
  updateNotices(View, Target, Now);
  return Changed;
}

bool ServiceGate::takeProbe(const ServiceView &View, const TargetView &Target) {
  const Instant Now = bootNow();
  const std::lock_guard<std::mutex> Guard(this->Lock);
  updateNotices(View, Target, Now);
  if (!Target.Gauge->Notices.allows(Now))
    return false;
  Target.Gauge->Notices.take(Now);
  return true;
}

ServiceGate::NoticesView ServiceGate::notices(const ServiceView &View,
                                              const TargetView &Target) {
  const Instant Now = bootNow();
  const std::lock_guard<std::mutex> Guard(this->Lock);
  updateNotices(View, Target, Now);
  const TargetNotices &Notices = Target.Gauge->Notices;
  const RateLimit &Limit = Notices.rateLimit();
  return {Limit.state(), Limit.share(),
          Limit.limited() ? Now - Limit.heardAt() : Duration::zero(),
          Notices.backOffLeft(Now)};
}

ServiceGate::Coverage ServiceGate::coverage(const ServiceView &View) {
  const Instant Now = bootNow();
  const std::lock_guard<std::mutex> Guard(this->Lock);
  Coverage Counts;
  for (const TargetView &Target : View.Targets) {
    if (!Target.Verdict.Admitted || Target.Verdict.Leaving)
      continue;
    ++Counts.Admitted;
    Counts.Suspected +=
        Target.Gauge->Gray.probability(Now) >= config::GrayThreshold ? 1 : 0;
    Counts.Idle +=
        Now - Target.Gauge->LastPlaced >= config::IdleThreshold ? 1 : 0;
    const TargetNotices &Notices = Target.Gauge->Notices;
    Counts.Limited += Notices.rateLimit().limited() ? 1 : 0;
    Counts.LeftAlone += Notices.backOffLeft(Now) > Duration::zero() ? 1 : 0;
  }
  return Counts;
}

Duration ServiceGate::idleTime(const TargetGauge &Gauge) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  return bootNow() - Gauge.LastPlaced;
}

bool ServiceGate::hasHealthySlot(const ServiceView &View,
                                 const PlacementParams &Params) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  Shortage Reason;
  const auto Found = this->candidates(View, Params, bootNow(), Reason);
  return std::any_of(Found.begin(), Found.end(), isHealthyWithFreeSlot);
}

double ServiceGate::usableSlots(const ServiceView &View,
                                const TargetView &Target, Instant Now) {
  const double Slots = slotsOf(View, Target);
  const TargetNotices &Notices = Target.Gauge->Notices;
  if (Notices.backOffLeft(Now) > Duration::zero())
    return 0;
  if (!Notices.rateLimit().limited() || View.MedianLatency == Duration::zero())
    return Slots;
  const std::chrono::duration<double> Median = View.MedianLatency;
  return std::min(Slots,
                  Notices.rateLimit().share().PerSecond * Median.count());
}

bool ServiceGate::missesDeadline(const ServiceView &View,
                                 Instant Deadline) const {
  // Waiting requests are served in batches of one per slot, each of which takes
  // the median latency.
  const Instant Now = bootNow();
  double Slots = 0;
  for (const TargetView &Target : View.Targets)
    Slots += Target.Verdict.Admitted ? usableSlots(View, Target, Now) : 0;
  if (Slots <= 0)
    return true;
  const auto Wait = std::chrono::duration_cast<Duration>(
      View.MedianLatency * (static_cast<double>(this->Queue.size()) / Slots));
  return Wait + View.MedianLatency > timeLeft(Deadline);
}

std::optional<ServiceGate::Rejection>
ServiceGate::checkNotices(const ServiceView &View, const Shortage &Reason,
                          std::size_t Ahead, Instant Deadline) {
  if (!Reason.Restricted || Reason.UnrestrictedTarget)
    return std::nullopt;
  const Instant Now = bootNow();
  Duration Wait = config::MaxNoticeRetryAfter;
  double Rate = 0;
  for (const TargetView &Target : View.Targets) {
    if (!Target.Verdict.Admitted)
      continue;
    const TargetNotices &Notices = Target.Gauge->Notices;
    const Duration BackOff = Notices.backOffLeft(Now);
    if (BackOff == Duration::zero())
      Rate += Notices.rateLimit().share().PerSecond;
    else if (!Notices.rateLimit().limited())
      Wait = std::min(Wait, BackOff);
  }
  if (Rate > 0)
    Wait = std::min<Duration>(
        Wait,
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
            static_cast<double>(Ahead + 1) / Rate)));
  const Duration Longest = std::min<Duration>(
      timeLeft(Deadline) - View.MedianLatency, config::MaxQueueWait);
  if (Wait <= Longest)
    return std::nullopt;
  return Rejection{Refusal::Restricted, Wait};
}

std::optional<ServiceGate::Rejection>
ServiceGate::checkWait(const ServiceView &View, Instant Deadline) const {
  if (this->Queue.size() >= config::MaxQueuePerService)
    return Rejection{Refusal::QueueFull, {}};
  if (this->missesDeadline(View, Deadline))
    return Rejection{Refusal::TooLate, {}};
  return std::nullopt;
}

std::size_t ServiceGate::waitersAhead(const Waiter *Self) const {
  const auto Position = std::find(this->Queue.begin(), this->Queue.end(), Self);
  return static_cast<std::size_t>(std::distance(this->Queue.begin(), Position));
}

void ServiceGate::wake(Waiter &Waiting) {
  Waiting.Woken = true;
  Waiting.Wakeup.notify_one();
}

bool ServiceGate::isPastDrain(const PlacementParams &Request, Instant Now) {
  return Request.Drain != nullptr &&
         Now >= Request.Drain->sendLimit(Request.Deadline) &&
         Now < Request.Deadline;
}

void ServiceGate::wakeFirst() {
  if (!this->Queue.empty())
    wake(*this->Queue.front());
}

void ServiceGate::wakeNextAfter(const Waiter &Self) {
  const auto Position =
      std::find(this->Queue.begin(), this->Queue.end(), &Self);
  if (Position != this->Queue.end() && std::next(Position) != this->Queue.end())
    wake(**std::next(Position));
}

void ServiceGate::dequeue(Waiter &Self) {
  const bool WasFirst = this->Queue.front() == &Self;
  this->Queue.remove(&Self);
  if (WasFirst)
    this->wakeFirst();
}

void ServiceGate::await(Waiter &Self, std::unique_lock<std::mutex> &Guard) {
  // The first waiter polls: a new verdict can free a slot without a wakeup.
  const bool First = this->Queue.front() == &Self;
  Duration Timeout = timeLeft(Self.WaitLimit);
  if (First)
    Timeout = std::min<Duration>(Timeout, config::QueuePollPeriod);
  Self.Wakeup.wait_for(Guard, Timeout, [&Self] { return Self.Woken; });
  Self.Woken = false;
  if (this->Queue.front() != &Self)
    return;
  // The clock of the condition variable stops while the machine is suspended,
  // so expired waits are also checked against the boot-time clock.
  const Instant Now = bootNow();
  for (Waiter *Waiting : this->Queue)
    if (Now >= Waiting->WaitLimit || isPastDrain(Waiting->Request, Now))
      wake(*Waiting);
}

tl::expected<TargetLease, ServiceGate::Rejection>
ServiceGate::acquire(const SnapshotHolder &Snapshots,
                     const PlacementParams &Params) {
  Waiter Self{Params,
              std::min(Params.Deadline, bootNow() + config::MaxQueueWait)};
  std::unique_lock<std::mutex> Guard(this->Lock);
  const auto Dequeue = [this](Waiter *Waiting) { this->dequeue(*Waiting); };
  std::unique_ptr<Waiter, decltype(Dequeue)> Queued(nullptr, Dequeue);
  std::optional<TargetLease> Lease;
  std::optional<Rejection> Refused;
  while (true) {
    Shortage Reason;
    const auto View = Snapshots.get()->service(this->Name);
    if (!View)
      Refused = Rejection{Refusal::NoService, {}};
    else if (isPastDrain(Params, bootNow()))
      Refused = Rejection{Refusal::Draining, {}};
    else if (Queued && bootNow() >= Self.WaitLimit)
      Refused = Rejection{Refusal::TooLate, {}};
    else if (!(Lease = this->tryAcquire(*View, Params, Reason)) &&
             !Reason.NoFreeSlot)
      Refused = Rejection{Refusal::NoTarget, {}};
    else if (!Lease)
      Refused = checkNotices(*View, Reason, this->waitersAhead(&Self),
                             Params.Deadline);
    if (!Lease && !Refused && !Queued)
      Refused = this->checkWait(*View, Params.Deadline);
    const bool Expired = Refused && *Refused == Refusal::TooLate;
    if (Queued && (Reason.UsableByOthers || Expired))
      this->wakeNextAfter(Self);
    if (Lease || Refused)
      break;
    if (!Queued) {
      // A request sent later than this gets no response before its deadline.
      Self.WaitLimit =
          std::min(Self.WaitLimit, Params.Deadline - View->MedianLatency);
      this->Queue.push_back(&Self);
      Queued.reset(&Self);
    }
    this->await(Self, Guard);
  }
  if (Lease)
    return std::move(*Lease);
  return tl::unexpected<Rejection>(*Refused);
}

void ServiceGate::release(TargetGauge &Gauge, Instant Placed) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  const auto Position =
      std::find(Gauge.Started.begin(), Gauge.Started.end(), Placed);
  if (Position != Gauge.Started.end())
    Gauge.Started.erase(Position);
  this->wakeFirst();
}

void ServiceGate::addFirstAttempt() {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  this->Budget.addFirstAttempt();
}

bool ServiceGate::takeRetry() {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  return this->Budget.takeRetry();
}

ServiceGate::Stats ServiceGate::stats() {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  return {static_cast<std::uint32_t>(this->Queue.size()),
          this->Budget.retriesLeft()};
}

} // namespace siskinstage
