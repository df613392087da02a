#include "node/service_gate.h"
#include "core/placement.h"
#include "net/boot_time.h"
#include "node/snapshot_holder.h"
#include "node/target_gauge.h"
#include "siskinstage/config.h"

#include <algorithm>
#include <iterator>
#include <memory>
#include <utility>

namespace siskinstage {

namespace {

bool isNear(const TargetView &Target, const PlacementOrder &Order) {
  return !Order.Own.empty() && Target.Spec.Domain == Order.Own;
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
  this->Gate->leave(*this->Target.Gauge, this->Placed.At);
  this->Gate.reset();
}

ServiceGate::ServiceGate(ServiceName Name, std::uint64_t Seed)
    : Name(std::move(Name)), How(makePolicy(RoutingPolicy::TwoChoices)),
      Dice(Seed),
      Budget(config::RetryBudgetFraction, config::RetryBudgetBurst) {}

void ServiceGate::configure(RoutingPolicy Policy, const RetryShare &Retries) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  if (Policy != this->PolicyName) {
    this->PolicyName = Policy;
    this->How = makePolicy(Policy);
  }
  this->Budget.configure(Retries.Fraction, Retries.Burst);
  if (!this->Configured)
    this->Budget.restart(Retries.Start);
  this->Configured = true;
}

std::vector<Candidate> ServiceGate::candidates(const ServiceView &View,
                                               const PlacementOrder &Order,
                                               Instant Now, Obstacle &Why) {
  const UsualLatency Usual = {View.MedianLatency, View.HighLatency};
  const RequestTraits Traits = {Order.Kind, Order.LargeBody,
                                Order.Tried.empty(), Order.Deadline - Now};
  std::vector<Candidate> Found;
  Why = {};
  for (std::uint32_t I = 0; I < View.Targets.size(); ++I) {
    const TargetView &Each = View.Targets[I];
    const bool Open =
        Each.Verdict.Admitted && !Each.Gauge->AnnouncedLeaving.load();
    if (!Open)
      continue;
    const TargetGauge &Gauge = *Each.Gauge;
    const PlacementTarget Known = {I,
                                   Gauge.InFlight.load(),
                                   Gauge.reportedLoad(Now),
                                   slotsOf(View, Each),
                                   Each.Verdict.Share,
                                   isNear(Each, Order),
                                   Gauge.Gray.probability(Now),
                                   &Gauge.Started,
                                   Each.SendsTrialRequests,
                                   Now - Gauge.LastPlaced};
    const bool Tried = Order.Tried.count(Each.Spec.Id) > 0;
    const auto Fit = Tried ? std::nullopt
                           : candidateOf(Known, Traits, Usual, Now, this->Dice);
    if (Fit) {
      Found.push_back(*Fit);
      continue;
    }
    Why.Full = Why.Full || !Tried;
    Why.Another = Why.Another || hasSlot(Known);
  }
  return Found;
}

std::optional<TargetLease> ServiceGate::tryEnter(const ServiceView &View,
                                                 const PlacementOrder &Order,
                                                 Obstacle &Why) {
  const Instant Now = bootNow();
  const auto Chosen =
      pick(this->How, this->candidates(View, Order, Now, Why), this->Dice);
  if (!Chosen)
    return std::nullopt;
  const TargetView &Target = View.Targets[*Chosen];
  TargetGauge &Gauge = *Target.Gauge;
  Gauge.InFlight.fetch_add(1);
  Gauge.Requests.fetch_add(1);
  Gauge.Started.push_back(Now);
  const Duration Idle = Now - std::exchange(Gauge.LastPlaced, Now);
  return TargetLease(this->shared_from_this(), Target,
                     {Now, Idle, Gauge.Gray.probability(Now)});
}

ServiceGate::BeliefChange ServiceGate::note(TargetGauge &Gauge, Evidence What) {
  const Instant Now = bootNow();
  const std::lock_guard<std::mutex> Guard(this->Lock);
  const double Before = Gauge.Gray.probability(Now);
  Gauge.Gray.update(What, Now);
  const bool Tell = Gauge.Gray.takeBroadcast(What, Now).has_value();
  return {Before, Gauge.Gray.probability(Now), Tell};
}

void ServiceGate::adopt(TargetGauge &Gauge, double GrayProbability) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  Gauge.Gray.adopt(GrayProbability, bootNow());
}

double ServiceGate::grayProbability(const TargetGauge &Gauge) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  return Gauge.Gray.probability(bootNow());
}

ServiceGate::Coverage ServiceGate::coverage(const ServiceView &View) {
  const Instant Now = bootNow();
  const std::lock_guard<std::mutex> Guard(this->Lock);
  Coverage Found;
  for (const TargetView &Each : View.Targets) {
    if (!Each.Verdict.Admitted || Each.Verdict.Leaving)
      continue;
    ++Found.Admitted;
    Found.Suspected +=
        Each.Gauge->Gray.probability(Now) >= config::GrayThreshold ? 1 : 0;
    Found.Idle += Now - Each.Gauge->LastPlaced >= config::WorkWindow ? 1 : 0;
  }
  return Found;
}

Duration ServiceGate::idleTime(const TargetGauge &Gauge) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  return bootNow() - Gauge.LastPlaced;
}

bool ServiceGate::hasSoundRoom(const ServiceView &View,
                               const PlacementOrder &Order) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  Obstacle Why;
  const auto Found = this->candidates(View, Order, bootNow(), Why);
  return std::any_of(Found.begin(), Found.end(), isHealthyWithFreeSlot);
}

bool ServiceGate::tooLate(const ServiceView &View, Instant Deadline) const {
  // Those who wait are served in turns of one usual latency by all slots.
  std::uint64_t Slots = 0;
  for (const TargetView &Each : View.Targets)
    Slots += Each.Verdict.Admitted ? slotsOf(View, Each) : 0;
  if (Slots == 0)
    return true;
  const Duration Wait = View.MedianLatency *
                        static_cast<std::int64_t>(this->Queue.size()) /
                        static_cast<std::int64_t>(Slots);
  return Wait + View.MedianLatency > timeLeft(Deadline);
}

std::optional<ServiceGate::Refusal>
ServiceGate::refusesWait(const ServiceView &View, Instant Deadline) const {
  if (this->Queue.size() >= config::MaxQueuePerService)
    return Refusal::QueueFull;
  if (this->tooLate(View, Deadline))
    return Refusal::TooLate;
  return std::nullopt;
}

void ServiceGate::wake(Waiter &Each) {
  Each.Woken = true;
  Each.Wake.notify_one();
}

void ServiceGate::wakeFirst() {
  if (!this->Queue.empty())
    wake(*this->Queue.front());
}

void ServiceGate::wakeNext(const Waiter &Self) {
  const auto Own = std::find(this->Queue.begin(), this->Queue.end(), &Self);
  if (Own != this->Queue.end() && std::next(Own) != this->Queue.end())
    wake(**std::next(Own));
}

void ServiceGate::leaveQueue(Waiter &Self) {
  const bool WasFirst = this->Queue.front() == &Self;
  this->Queue.remove(&Self);
  if (WasFirst)
    this->wakeFirst();
}

void ServiceGate::await(Waiter &Self, std::unique_lock<std::mutex> &Guard) {
  // What changes without a request's end, as a verdict, is seen by the first.
  const bool First = this->Queue.front() == &Self;
  Duration Longest = timeLeft(Self.Limit);
  if (First)
    Longest = std::min<Duration>(Longest, config::QueuePollPeriod);
  Self.Wake.wait_for(Guard, Longest, [&Self] { return Self.Woken; });
  Self.Woken = false;
  if (this->Queue.front() != &Self)
    return;
  // The condition's clock stands still while the machine is suspended.
  const Instant Now = bootNow();
  for (Waiter *Each : this->Queue)
    if (Now >= Each->Limit)
      wake(*Each);
}

tl::expected<TargetLease, ServiceGate::Refusal>
ServiceGate::enter(const SnapshotHolder &Snapshots,
                   const PlacementOrder &Order) {
  Waiter Self;
  Self.Limit = std::min(Order.Deadline, bootNow() + config::MaxQueueWait);
  std::unique_lock<std::mutex> Guard(this->Lock);
  const auto Leave = [this](Waiter *Each) { this->leaveQueue(*Each); };
  std::unique_ptr<Waiter, decltype(Leave)> Queued(nullptr, Leave);
  std::optional<TargetLease> Entered;
  std::optional<Refusal> Refused;
  while (true) {
    Obstacle Why;
    const auto View = Snapshots.get()->service(this->Name);
    if (!View)
      Refused = Refusal::NoService;
    else if (Queued && bootNow() >= Self.Limit)
      Refused = Refusal::TooLate;
    else if (!(Entered = this->tryEnter(*View, Order, Why)) && !Why.Full)
      Refused = Refusal::NoTarget;
    else if (!Entered && !Queued)
      Refused = this->refusesWait(*View, Order.Deadline);
    if (Queued && (Why.Another || Refused == Refusal::TooLate))
      this->wakeNext(Self);
    if (Entered || Refused)
      break;
    if (!Queued) {
      // A request that is sent later has no answer before its deadline.
      Self.Limit = std::min(Self.Limit, Order.Deadline - View->MedianLatency);
      this->Queue.push_back(&Self);
      Queued.reset(&Self);
    }
    this->await(Self, Guard);
  }
  if (Entered)
    return std::move(*Entered);
  return tl::unexpected<Refusal>(*Refused);
}

void ServiceGate::leave(TargetGauge &Gauge, Instant Placed) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  const auto Ended =
      std::find(Gauge.Started.begin(), Gauge.Started.end(), Placed);
  if (Ended != Gauge.Started.end())
    Gauge.Started.erase(Ended);
  this->wakeFirst();
}

void ServiceGate::firstTry() {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  this->Budget.addFirstAttempt();
}

bool ServiceGate::takeRetry() {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  return this->Budget.takeRetry();
}

ServiceGate::Stats ServiceGate::stats() {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  return {static_cast<std::uint32_t>(this->Queue.size()), this->Budget.left()};
}

} // namespace siskinstage
