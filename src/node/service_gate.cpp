#include "node/service_gate.h"
#include "core/placement.h"
#include "net/boot_time.h"
#include "node/snapshot_holder.h"
#include "node/target_gauge.h"
#include "siskinstage/config.h"

#include <algorithm>
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
                                               Instant Now, bool &Full) {
  const UsualLatency Usual = {View.Typical, View.High};
  const RequestTraits Traits = {Order.Kind, Order.LargeBody,
                                Order.Tried.empty(), Order.Deadline - Now};
  std::vector<Candidate> Found;
  Full = false;
  for (std::uint32_t I = 0; I < View.Targets.size(); ++I) {
    const TargetView &Each = View.Targets[I];
    const bool Open = Each.Verdict.Admitted && !Each.Gauge->SaidLeaving.load();
    if (!Open || Order.Tried.count(Each.Spec.Id) > 0)
      continue;
    const TargetGauge &Gauge = *Each.Gauge;
    const KnownTarget Known = {I,
                               Gauge.InFlight.load(),
                               Gauge.load(Now),
                               slotsOf(View, Each),
                               Each.Verdict.Share,
                               isNear(Each, Order),
                               Gauge.Gray.chance(Now),
                               &Gauge.Started,
                               Each.InCharge,
                               Now - Gauge.LastPlaced};
    if (const auto Fit =
            candidateOf(Known, Traits, Usual, Now, this->Dice, Full))
      Found.push_back(*Fit);
  }
  return Found;
}

tl::expected<TargetLease, ServiceGate::Refusal>
ServiceGate::tryEnter(const ServiceView &View, const PlacementOrder &Order,
                      bool &Full) {
  const Instant Now = bootNow();
  const auto Chosen =
      pick(this->How, this->candidates(View, Order, Now, Full), this->Dice);
  if (!Chosen)
    return tl::unexpected<Refusal>(Refusal::NoTarget);
  const TargetView &Target = View.Targets[*Chosen];
  TargetGauge &Gauge = *Target.Gauge;
  Gauge.InFlight.fetch_add(1);
  Gauge.Requests.fetch_add(1);
  Gauge.Started.push_back(Now);
  const Duration Idle = Now - std::exchange(Gauge.LastPlaced, Now);
  return TargetLease(this->shared_from_this(), Target,
                     {Now, Idle, Gauge.Gray.chance(Now)});
}

ServiceGate::BeliefChange ServiceGate::note(TargetGauge &Gauge, Evidence What) {
  const Instant Now = bootNow();
  const std::lock_guard<std::mutex> Guard(this->Lock);
  const double Before = Gauge.Gray.chance(Now);
  Gauge.Gray.note(What, Now);
  const bool Tell = Gauge.Gray.news(What, Now).has_value();
  return {Before, Gauge.Gray.chance(Now), Tell};
}

void ServiceGate::adopt(TargetGauge &Gauge, double GrayChance) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  Gauge.Gray.adopt(GrayChance, bootNow());
}

double ServiceGate::grayChance(const TargetGauge &Gauge) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  return Gauge.Gray.chance(bootNow());
}

ServiceGate::Coverage ServiceGate::coverage(const ServiceView &View) {
  const Instant Now = bootNow();
  const std::lock_guard<std::mutex> Guard(this->Lock);
  Coverage Found;
  for (const TargetView &Each : View.Targets) {
    if (!Each.Verdict.Admitted || Each.Verdict.Leaving)
      continue;
    ++Found.Admitted;
    Found.Doubted +=
        Each.Gauge->Gray.chance(Now) >= config::ProbablyGray ? 1 : 0;
    Found.Idle += Now - Each.Gauge->LastPlaced >= config::WorkWindow ? 1 : 0;
  }
  return Found;
}

Duration ServiceGate::idle(const TargetGauge &Gauge) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  return bootNow() - Gauge.LastPlaced;
}

bool ServiceGate::hasSoundRoom(const ServiceView &View,
                               const PlacementOrder &Order) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  bool Full = false;
  const auto Found = this->candidates(View, Order, bootNow(), Full);
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
                        static_cast<std::int64_t>(this->Waiting) /
                        static_cast<std::int64_t>(Slots);
  return Wait + View.Typical > timeLeft(Deadline);
}

tl::expected<TargetLease, ServiceGate::Refusal>
ServiceGate::enter(const SnapshotHolder &Snapshots,
                   const PlacementOrder &Order) {
  const Instant Limit =
      std::min(Order.Deadline, bootNow() + config::MaxQueueWait);
  std::unique_lock<std::mutex> Guard(this->Lock);
  bool Queued = false;
  while (true) {
    const auto View = Snapshots.get()->service(this->Name);
    if (!View)
      return tl::unexpected<Refusal>(Refusal::NoService);
    bool Full = false;
    auto Entered = this->tryEnter(*View, Order, Full);
    if (Entered)
      return Entered;
    if (!Full)
      return Entered;
    if (bootNow() >= Limit)
      return tl::unexpected<Refusal>(Refusal::TooLate);
    if (!Queued && this->Waiting >= config::MaxQueuePerService)
      return tl::unexpected<Refusal>(Refusal::QueueFull);
    if (!Queued && this->tooLate(*View, Order.Deadline))
      return tl::unexpected<Refusal>(Refusal::TooLate);
    Queued = true;
    ++this->Waiting;
    this->SlotFree.wait_for(Guard, config::QueuePollPeriod);
    --this->Waiting;
  }
}

void ServiceGate::leave(TargetGauge &Gauge, Instant Placed) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  const auto Ended =
      std::find(Gauge.Started.begin(), Gauge.Started.end(), Placed);
  if (Ended != Gauge.Started.end())
    Gauge.Started.erase(Ended);
  if (this->Waiting > 0)
    this->SlotFree.notify_one();
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
  return {this->Waiting, this->Budget.left()};
}

} // namespace siskinstage
