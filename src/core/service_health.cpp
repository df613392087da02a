#include "core/service_health.h"
#include "core/floor.h"

#include <algorithm>
#include <utility>

namespace siskinstage {

namespace {

/// Fewer targets than this have no usual latency to compare with.
constexpr std::size_t LeastToCompare = 3;

/// The median of \p Values, zero for too few.
Duration medianOf(std::vector<Duration> Values) {
  if (Values.size() < LeastToCompare)
    return Duration::zero();
  const auto Middle =
      Values.begin() + static_cast<std::ptrdiff_t>(Values.size() / 2);
  std::nth_element(Values.begin(), Middle, Values.end());
  return *Middle;
}

} // namespace

void ServiceHealth::configure(const ServiceRecord &New, Instant Now) {
  std::map<TargetId, Tracked> Kept;
  for (const TargetSpec &Spec : New.Targets) {
    const auto Found = this->Targets.find(Spec.Id);
    const bool Known =
        Found != this->Targets.end() && Found->second.Process == Spec.Process;
    Tracked &Each = Kept[Spec.Id];
    if (Known) {
      Each = Found->second;
      continue;
    }
    Each.Process = Spec.Process;
    if (Spec.Warmup > Millis::zero())
      Each.Health.warmUp(Now, Spec.Warmup);
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
  const DetectionLimits Limits =
      DetectionLimits::forPreference(this->Record.Detection);
  if (this->How == Detector::ProbesOnly) {
    this->observeProbe(Found->second.Health, Seen, Limits);
    return;
  }
  Found->second.Health.observe(Seen, Limits, this->Usual);
  const bool Answered =
      Seen.Kind == Evidence::Success || Seen.Kind == Evidence::LateSuccess;
  if (!Answered || Seen.FromProbe)
    return;
  this->Pooled.push_back(Seen.Latency);
  if (this->Pooled.size() > config::PooledLatencyCount)
    this->Pooled.pop_front();
}

UsualLatency ServiceHealth::pooledUsual() const {
  if (this->Pooled.size() < config::MinWindowSamples)
    return {};
  std::vector<Duration> Sorted(this->Pooled.begin(), this->Pooled.end());
  std::sort(Sorted.begin(), Sorted.end());
  const auto High = static_cast<std::size_t>(
      static_cast<double>(Sorted.size()) * config::HighLatencyQuantile);
  return {Sorted[Sorted.size() / 2], Sorted[High]};
}

void ServiceHealth::observeProbe(TargetHealth &Health, Observation Seen,
                                 const DetectionLimits &Limits) {
  if (!Seen.FromProbe && Seen.Kind != Evidence::Leaving)
    return;
  // To this detector a probe is as good as work.
  Seen.FromProbe = false;
  Health.observe(Seen, Limits, this->Usual);
}

void ServiceHealth::report(const TargetId &Target, const PeerReport &Report) {
  const auto Found = this->Targets.find(Target);
  const bool Heeded =
      this->How == Detector::Group || Report.Kind == ReportKind::Leaving;
  if (Found == this->Targets.end() || !Heeded)
    return;
  const DetectionLimits Limits =
      DetectionLimits::forPreference(this->Record.Detection);
  Found->second.Health.report(Report, Limits, this->OwnDomain);
  // Everyone has heard of it: it need not be reported from here too.
  if (Report.Kind == ReportKind::Leaving)
    Found->second.ReportedLeaving = true;
}

void ServiceHealth::updateUsual() {
  std::vector<Duration> Medians;
  std::vector<Duration> Highs;
  for (const auto &[Id, Each] : this->Targets) {
    if (Each.Health.latency() > Duration::zero())
      Medians.push_back(Each.Health.latency());
    if (Each.Health.highLatency() > Duration::zero())
      Highs.push_back(Each.Health.highLatency());
  }
  Duration Median = medianOf(std::move(Medians));
  Duration High = medianOf(std::move(Highs));
  // Few requests for each target: what all of them took must do.
  if (High == Duration::zero()) {
    const UsualLatency All = this->pooledUsual();
    High = All.High;
    if (Median == Duration::zero())
      Median = All.Median;
  }
  // What is no longer known stays as it was.
  if (Median > Duration::zero())
    this->Usual.Median = Median;
  if (High > Duration::zero())
    this->Usual.High = High;
}

std::vector<TargetVerdict> ServiceHealth::decide(Instant Now) {
  this->updateUsual();
  std::vector<EjectionRequest> Wishes;
  for (const TargetSpec &Spec : this->Record.Targets) {
    Tracked &Each = this->Targets[Spec.Id];
    Each.Health.advance(Now);
    const bool Eject = Each.Health.state() == TargetHealth::State::Ejected;
    const bool Leaving =
        Each.Health.leaving() || Each.ListedLeaving || Spec.Leaving;
    const Slots Capacity =
        Spec.Capacity.Value > 0 ? Spec.Capacity : this->Record.SlotsPerTarget;
    Wishes.push_back({Capacity, Leaving, Eject, Each.Health.severity()});
  }
  const std::vector<bool> Admitted =
      admitAboveFloor(Wishes, this->Record.Floor);
  std::vector<TargetVerdict> Verdicts;
  for (std::size_t I = 0; I < Wishes.size(); ++I) {
    const TargetId &Id = this->Record.Targets[I].Id;
    const TargetHealth &Health = this->Targets[Id].Health;
    const bool Kept = Admitted[I] && Wishes[I].Eject;
    Verdicts.push_back({Id, Admitted[I], Wishes[I].Leaving, Kept,
                        Health.byGroup(), Health.share(Now), Health.state(),
                        Health.reason(), Health.ejections()});
  }
  return Verdicts;
}

std::vector<TargetReport> ServiceHealth::takeReports(Instant Now) {
  std::vector<TargetReport> Reports;
  for (auto &[Id, Each] : this->Targets) {
    const TargetHealth &Health = Each.Health;
    const bool Leaves = Health.leaving() || Each.ListedLeaving;
    if (Leaves && !Each.ReportedLeaving)
      Reports.push_back({this->Record.Name, Id, ReportKind::Leaving, 0});
    Each.ReportedLeaving = Leaves;
    if (Health.byGroup() && Health.ejections() != Each.ReportedEjections) {
      Each.ReportedEjections = Health.ejections();
      Reports.push_back({this->Record.Name, Id, ReportKind::Ejected, 0});
    }
    // A single failure is in the belief that nodes share of each target.
    const bool Failing = Health.streak() >= config::MinReportedStreak;
    const bool Changed = Health.streak() != Each.ReportedStreak &&
                         (Failing || Each.ReportedStreak > 0);
    if (!Changed || Now - Each.ReportedAt < config::MinReportInterval)
      continue;
    Each.ReportedStreak = Failing ? Health.streak() : 0;
    Each.ReportedAt = Now;
    Reports.push_back(
        {this->Record.Name, Id, Health.kind(), Each.ReportedStreak});
  }
  return Reports;
}

} // namespace siskinstage
