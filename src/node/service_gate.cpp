#include "node/service_gate.h"
#include "core/gray_handicap.h"
#include "core/suspicion.h"
#include "net/boot_time.h"
#include "node/snapshot_holder.h"
#include "node/target_gauge.h"
#include "siskinstage/config.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <memory>

namespace siskinstage {

namespace {

bool isNear(const TargetView &Target, const PlacementOrder &Order) {
  return !Order.Own.empty() && Target.Spec.Domain == Order.Own;
}

/// Handicap of a target for one request, in loads of all its slots. The gate's
/// lock must be held.
double handicapOf(const ServiceView &View, const TargetView &Target,
                  const PlacementOrder &Order, std::uint32_t InFlight,
                  Instant Now) {
  const double Gray =
      hangChance(Target.Gauge->Gray.chance(Now), Target.Gauge->Started,
                 {View.Typical, View.High}, Now);
  const bool Far = Order.LargeBody && !isNear(Target, Order);
  return grayHandicap(Gray, InFlight, Order.Kind) +
         (Far ? config::LargeBodyHandicap : 0);
}

/// Slots of a target that this node may use now.
std::uint32_t usableSlots(const ServiceView &View, const TargetView &Target) {
  const double Usable = std::ceil(slotsOf(View, Target) * Target.Verdict.Share);
  return static_cast<std::uint32_t>(std::max(1.0, Usable));
}

} // namespace

TargetLease::TargetLease(std::shared_ptr<ServiceGate> Gate, TargetView Target,
                         Instant Placed)
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
  this->Gate->leave(*this->Target.Gauge, this->Placed);
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
  std::vector<Candidate> Found;
  Why = {};
  for (std::uint32_t I = 0; I < View.Targets.size(); ++I) {
    const TargetView &Each = View.Targets[I];
    const bool Open = Each.Verdict.Admitted && !Each.Gauge->SaidLeaving.load();
    if (!Open)
      continue;
    const std::uint32_t InFlight = Each.Gauge->InFlight.load();
    const bool HasSlot = InFlight < usableSlots(View, Each);
    const bool Tried = Order.Tried.count(Each.Spec.Id) > 0;
    const bool Spared = !Tried && Each.Verdict.Share < 1.0 &&
                        this->Dice.unit() > Each.Verdict.Share;
    if (HasSlot && (Tried || Spared))
      Why.Another = true;
    if (!Tried && (!HasSlot || Spared))
      Why.Full = true;
    if (Tried || !HasSlot || Spared)
      continue;
    Found.push_back({I, InFlight, Each.Gauge->load(Now), slotsOf(View, Each),
                     isNear(Each, Order),
                     handicapOf(View, Each, Order, InFlight, Now)});
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
  Target.Gauge->InFlight.fetch_add(1);
  Target.Gauge->Requests.fetch_add(1);
  Target.Gauge->Started.push_back(Now);
  return TargetLease(this->shared_from_this(), Target, Now);
}

std::optional<double> ServiceGate::note(TargetGauge &Gauge, Evidence What) {
  const Instant Now = bootNow();
  const std::lock_guard<std::mutex> Guard(this->Lock);
  Gauge.Gray.note(What, Now);
  return Gauge.Gray.news(What, Now);
}

void ServiceGate::adopt(TargetGauge &Gauge, double GrayChance) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  Gauge.Gray.adopt(GrayChance, bootNow());
}

double ServiceGate::grayChance(const TargetGauge &Gauge) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  return Gauge.Gray.chance(bootNow());
}

bool ServiceGate::hasSoundRoom(const ServiceView &View,
                               const PlacementOrder &Order) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  Obstacle Why;
  const auto Found = this->candidates(View, Order, bootNow(), Why);
  return std::any_of(Found.begin(), Found.end(), isSoundWithRoom);
}

bool ServiceGate::tooLate(const ServiceView &View, Instant Deadline) const {
  // Those who wait are served in turns of one usual latency by all slots.
  std::uint64_t Slots = 0;
  for (const TargetView &Each : View.Targets)
    Slots += Each.Verdict.Admitted ? slotsOf(View, Each) : 0;
  if (Slots == 0)
    return true;
  const Duration Wait = View.Typical *
                        static_cast<std::int64_t>(this->Queue.size()) /
                        static_cast<std::int64_t>(Slots);
  return Wait + View.Typical > timeLeft(Deadline);
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
      Self.Limit = std::min(Self.Limit, Order.Deadline - View->Typical);
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
  this->Budget.firstTry();
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
