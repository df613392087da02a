// What ServiceGate knows of its targets: estimates of gray failures and
// notices.
#include "core/targets/trial_request.h"
#include "net/boot_time.h"
#include "node/targets/service_gate.h"
#include "node/targets/target_gauge.h"
#include "siskinstage/config.h"

namespace siskinstage {

namespace {

RateLimitSource rateLimitSource(const ServiceView &View,
                                const TargetView &Target, const Address &Node) {
  const double PerSecond = Target.Gauge->Notices.rateLimit().state().PerSecond;
  return {Node,
          !View.Group || isInCharge(Node, PerSecond, *View.Group, Target.Spec)};
}

/// Slots of the targets that are assigned to this node; zero if the targets are
/// not divided among several nodes, or this node has none of them.
std::uint32_t assignedSlots(const ServiceView &View) {
  if (!View.Group || View.Group->Nodes.size() <= 1)
    return 0;
  std::uint32_t Slots = 0;
  for (const TargetView &Target : View.Targets)
    if (Target.SendsTrialRequests && Target.Verdict.Admitted)
      Slots += slotsOf(View, Target);
  return Slots;
}

} // namespace

ServiceGate::EstimateChange
ServiceGate::addEvidence(TargetGauge &Gauge, Evidence Kind, Instant At) {
  const Instant Now = bootNow();
  const std::lock_guard<std::mutex> Guard(this->Lock);
  const double Before = Gauge.Gray.probability(Now);
  Gauge.Gray.update(Kind, At);
  const bool Broadcast = Gauge.Gray.takeBroadcast(Kind, Now).has_value();
  return {Before, Gauge.Gray.probability(Now), Broadcast,
          this->Unserved.own(Now)};
}

void ServiceGate::adopt(TargetGauge &Gauge, double GrayProbability,
                        const Address &From, const ServiceLoad &Load) {
  const Instant Now = bootNow();
  const std::lock_guard<std::mutex> Guard(this->Lock);
  Gauge.Gray.adopt(GrayProbability, Now);
  this->Unserved.adopt(From, Load, Now);
}

double ServiceGate::urgency(const ServiceView &View, Instant Now) const {
  constexpr double AllUntried = 1;
  const std::size_t Nodes = View.Group ? View.Group->Nodes.size() : 1;
  const double Fraction = this->Unserved.value(Nodes, Now);
  if (trialUrgency(Fraction, AllUntried) == 0)
    return 0;
  ExpectedHealthy Healthy;
  for (const TargetView &Target : View.Targets)
    if (Target.Verdict.Admitted && !Target.Gauge->AnnouncedLeaving.load())
      Healthy.add(Target.Gauge->Gray.probability(Now));
  return trialUrgency(Fraction, Healthy.untriedFraction());
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

bool ServiceGate::usesOnlyOwnSlots(const ServiceView &View) {
  const std::uint32_t Assigned = assignedSlots(View);
  std::uint32_t InFlight = 0;
  for (const TargetView &Target : View.Targets)
    InFlight += Target.Gauge->InFlight.load();
  return Assigned > 0 && exceedsOwnSlots(InFlight, Assigned);
}

std::vector<TargetRoom> ServiceGate::roomsOf(const ServiceView &View,
                                             Instant Now) {
  std::vector<TargetRoom> Rooms;
  // Where the targets are divided among nodes, the slots of the others'
  // targets are no capacity to count on.
  const bool Divided = assignedSlots(View) > 0;
  for (const TargetView &Target : View.Targets) {
    if (!Target.Verdict.Admitted)
      continue;
    const TargetNotices &Notices = Target.Gauge->Notices;
    const std::uint32_t Usable =
        Divided && !Target.SendsTrialRequests ? 0 : slotsOf(View, Target);
    Rooms.push_back({static_cast<double>(Usable), Target.Gauge->InFlight.load(),
                     Notices.backOffLeft(Now), Notices.rateLimit().limited(),
                     Notices.rateLimit().share().PerSecond,
                     Notices.allows(Now)});
  }
  return Rooms;
}

} // namespace siskinstage
