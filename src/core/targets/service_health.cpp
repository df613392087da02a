#include "core/targets/service_health.h"
#include "core/targets/floor.h"

#include <algorithm>
#include <utility>

namespace siskinstage {

namespace {

/// Minimum number of targets whose latencies give a usual latency.
constexpr std::size_t MinTargetsToCompare = 3;

/// The median of \p Values, or zero if there are too few.
Duration medianOf(std::vector<Duration> Values) {
  if (Values.size() < MinTargetsToCompare)
    return Duration::zero();
  const auto Middle =
      Values.begin() + static_cast<std::ptrdiff_t>(Values.size() / 2);
  std::nth_element(Values.begin(), Middle, Values.end());
  return *Middle;
}

} // namespace

void ServiceHealth::configure(const ServiceRecord &New, Instant Now) {
  std::map<TargetId, TrackedTarget> Kept;
  for (const TargetSpec &Spec : New.Targets) {
    const auto Found = this->Targets.find(Spec.Id);
    const bool Known =
        Found != this->Targets.end() && Found->second.Process == Spec.Process;
    TrackedTarget &Tracked = Kept[Spec.Id];
    if (Known) {
      Tracked = Found->second;
      continue;
    }
    Tracked.Process = Spec.Process;
    if (Spec.Warmup > Millis::zero())
      Tracked.Health.warmUp(Now, Spec.Warmup);
  }
  this->Targets = std::move(Kept);
  this->Record = New;
}

void ServiceHealth::setListedLeaving(const std::set<Address> &Leaving) {
  for (const TargetSpec &Spec : this->Record.Targets)
    this->Targets[Spec.Id].ListedLeaving = Leaving.count(Spec.Endpoint) > 0;
}

void ServiceHealth::observe(const Observation &Observed) {
  const auto Found = this->Targets.find(Observed.Target);
  if (Found == this->Targets.end())
    return;
  const DetectionLimits Limits =
      DetectionLimits::forPreference(this->Record.Detection);
  if (this->Mode == Detector::ProbesOnly) {
    this->observeProbe(Found->second.Health, Observed, Limits);
    return;
  }
  Found->second.Health.observe(Observed, Limits, this->Usual);
  const bool Succeeded = Observed.Kind == Evidence::Success ||
                         Observed.Kind == Evidence::LateSuccess;
  if (!Succeeded || Observed.FromProbe)
    return;
  this->Pooled.push_back(Observed.Latency);
  if (this->Pooled.size() > config::PooledLatencyCount)
    this->Pooled.pop_front();
}

UsualLatency ServiceHealth::pooledLatency() const {
  if (this->Pooled.size() < config::MinWindowSamples)
    return {};
  std::vector<Duration> Sorted(this->Pooled.begin(), this->Pooled.end());
  std::sort(Sorted.begin(), Sorted.end());
  const auto High = static_cast<std::size_t>(
      static_cast<double>(Sorted.size()) * config::HighLatencyQuantile);
  return {Sorted[Sorted.size() / 2], Sorted[High]};
}

void ServiceHealth::observeProbe(TargetHealth &Health, Observation Observed,
                                 const DetectionLimits &Limits) {
  if (!Observed.FromProbe && Observed.Kind != Evidence::Leaving)
    return;
  // This detector treats a probe as a request.
  Observed.FromProbe = false;
  Health.observe(Observed, Limits, this->Usual);
}

void ServiceHealth::report(const TargetId &Target, const PeerReport &Report) {
  const auto Found = this->Targets.find(Target);
  const bool Used =
      this->Mode == Detector::Group || Report.Kind == ReportKind::Leaving;
  if (Found == this->Targets.end() || !Used)
    return;
  const DetectionLimits Limits =
      DetectionLimits::forPreference(this->Record.Detection);
  Found->second.Health.report(Report, Limits, this->OwnDomain);
  // The other nodes of the group received this report as well, so this node
  // does not repeat it.
  if (Report.Kind == ReportKind::Leaving)
    Found->second.ReportedLeaving = true;
}

void ServiceHealth::updateUsualLatency() {
  std::vector<Duration> Medians;
  std::vector<Duration> Highs;
  for (const auto &[Id, Tracked] : this->Targets) {
    if (Tracked.Health.latency() > Duration::zero())
      Medians.push_back(Tracked.Health.latency());
    if (Tracked.Health.highLatency() > Duration::zero())
      Highs.push_back(Tracked.Health.highLatency());
  }
  Duration Median = medianOf(std::move(Medians));
  Duration High = medianOf(std::move(Highs));
  // With too few successes per target, the pooled latencies are used.
  if (High == Duration::zero()) {
    const UsualLatency All = this->pooledLatency();
    High = All.High;
    if (Median == Duration::zero())
      Median = All.Median;
  }
  // An unknown value does not replace the last known one.
  if (Median > Duration::zero())
    this->Usual.Median = Median;
  if (High > Duration::zero())
    this->Usual.High = High;
}

std::vector<TargetVerdict> ServiceHealth::decide(Instant Now) {
  this->updateUsualLatency();
  std::vector<EjectionRequest> Requests;
  for (const TargetSpec &Spec : this->Record.Targets) {
    TrackedTarget &Tracked = this->Targets[Spec.Id];
    Tracked.Health.advance(Now);
    const bool Eject = Tracked.Health.state() == TargetHealth::State::Ejected;
    const bool Leaving =
        Tracked.Health.leaving() || Tracked.ListedLeaving || Spec.Leaving;
    const Slots Capacity =
        Spec.Capacity.Value > 0 ? Spec.Capacity : this->Record.SlotsPerTarget;
    Requests.push_back({Capacity, Leaving, Eject, Tracked.Health.severity()});
  }
  const std::vector<bool> Admitted =
      admitAboveFloor(Requests, this->Record.Floor);
  std::vector<TargetVerdict> Verdicts;
  for (std::size_t I = 0; I < Requests.size(); ++I) {
    const TargetId &Id = this->Record.Targets[I].Id;
    const TargetHealth &Health = this->Targets[Id].Health;
    const bool Kept = Admitted[I] && Requests[I].Eject;
    Verdicts.push_back({Id, Admitted[I], Requests[I].Leaving, Kept,
                        Health.byGroup(), Health.share(Now), Health.state(),
                        Health.reason(), Health.ejections()});
  }
  return Verdicts;
}

std::vector<TargetReport> ServiceHealth::takeReports(Instant Now) {
  std::vector<TargetReport> Reports;
  for (auto &[Id, Tracked] : this->Targets) {
    const TargetHealth &Health = Tracked.Health;
    const bool Leaves = Health.leaving() || Tracked.ListedLeaving;
    if (Leaves && !Tracked.ReportedLeaving)
      Reports.push_back({this->Record.Name, Id, ReportKind::Leaving, 0});
    Tracked.ReportedLeaving = Leaves;
    if (Health.byGroup() && Health.ejections() != Tracked.ReportedEjections) {
      Tracked.ReportedEjections = Health.ejections();
      Reports.push_back({this->Record.Name, Id, ReportKind::Ejected, 0});
    }
    // A single failure is not reported: nodes broadcast their gray-failure
    // estimates, which include it.
    const bool Failing = Health.streak() >= config::MinReportedStreak;
    const bool Changed = Health.streak() != Tracked.ReportedStreak &&
                         (Failing || Tracked.ReportedStreak > 0);
    if (!Changed || Now - Tracked.ReportedAt < config::MinReportInterval)
      continue;
    Tracked.ReportedStreak = Failing ? Health.streak() : 0;
    Tracked.ReportedAt = Now;
    Reports.push_back(
        {this->Record.Name, Id, Health.kind(), Tracked.ReportedStreak});
  }
  return Reports;
}

} // namespace siskinstage
