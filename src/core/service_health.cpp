#include "core/service_health.h"
#include "core/floor.h"

#include <algorithm>

namespace siskinstage {

namespace {

/// Fewer targets than this have no usual latency to compare with.
constexpr std::size_t LeastToCompare = 3;

} // namespace

void ServiceHealth::configure(const ServiceRecord &New) {
  std::map<TargetId, Tracked> Kept;
  for (const TargetSpec &Spec : New.Targets) {
    const auto Found = this->Targets.find(Spec.Id);
    Kept[Spec.Id] = Found == this->Targets.end() ? Tracked{} : Found->second;
  }
  this->Targets = std::move(Kept);
  this->Record = New;
}

void ServiceHealth::setListedLeaving(const std::set<Address> &Leaving) {
  for (const TargetSpec &Spec : this->Record.Targets)
    this->Targets[Spec.Id].ListedLeaving = Leaving.count(Spec.Where) > 0;
}

void ServiceHealth::observe(const Observation &Seen) {
  const auto Found = this->Targets.find(Seen.Target);
  if (Found == this->Targets.end())
    return;
  const DetectionLimits Limits = DetectionLimits::of(this->Record.Detection);
  Found->second.Health.observe(Seen, Limits, this->Typical);
}

Duration ServiceHealth::typicalLatency() const {
  std::vector<Duration> Latencies;
  for (const auto &[Id, Each] : this->Targets)
    if (Each.Health.latency() > Duration::zero())
      Latencies.push_back(Each.Health.latency());
  if (Latencies.size() < LeastToCompare)
    return Duration::zero();
  const auto Middle =
      Latencies.begin() + static_cast<std::ptrdiff_t>(Latencies.size() / 2);
  std::nth_element(Latencies.begin(), Middle, Latencies.end());
  return *Middle;
}

std::vector<TargetVerdict> ServiceHealth::decide(Instant Now) {
  this->Typical = this->typicalLatency();
  std::vector<EjectionWish> Wishes;
  for (const TargetSpec &Spec : this->Record.Targets) {
    Tracked &Each = this->Targets[Spec.Id];
    Each.Health.advance(Now);
    const bool Eject = Each.Health.state() == TargetHealth::State::Ejected;
    const bool Leaving = Each.Health.leaving() || Each.ListedLeaving;
    Wishes.push_back(
        {this->Record.SlotsPerTarget, Leaving, Eject, Each.Health.sickness()});
  }
  const std::vector<bool> Admitted =
      admitAboveFloor(Wishes, this->Record.Floor);
  std::vector<TargetVerdict> Verdicts;
  for (std::size_t I = 0; I < Wishes.size(); ++I) {
    const TargetId &Id = this->Record.Targets[I].Id;
    const TargetHealth &Health = this->Targets[Id].Health;
    const bool Kept = Admitted[I] && Wishes[I].Eject;
    Verdicts.push_back({Id, Admitted[I], Wishes[I].Leaving, Kept,
                        Health.share(Now), Health.state(), Health.reason(),
                        Health.ejections()});
  }
  return Verdicts;
}

} // namespace siskinstage
