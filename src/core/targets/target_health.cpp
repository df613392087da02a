#include "core/targets/target_health.h"
#include "siskinstage/config.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace siskinstage {

namespace {

/// Share of its usual load that a target gets at the start of a probation.
constexpr double MinShare = 0.1;
/// Consecutive failures that eject a target on probation.
constexpr std::uint32_t ProbationFailures = 2;

bool isFailure(Evidence Kind) {
  return Kind == Evidence::Failure || Kind == Evidence::Timeout ||
         Kind == Evidence::Overdue || Kind == Evidence::ConnectFailed;
}

bool isSuccess(Evidence Kind) {
  return Kind == Evidence::Success || Kind == Evidence::LateSuccess;
}

double inNanoseconds(Duration Length) {
  return static_cast<double>(Length.count());
}

/// Whether the response took much longer than is usual for the service.
bool isSlow(const Observation &Observed, const DetectionLimits &Limits,
            const UsualLatency &Usual) {
  if (!isSuccess(Observed.Kind) || Usual.High == Duration::zero())
    return false;
  return Observed.Latency >= config::MinSlowLatency &&
         inNanoseconds(Observed.Latency) >=
             Limits.SlowFactor * inNanoseconds(Usual.High);
}

/// Whether a timeout is no evidence, as the target had too little time.
bool isTooShort(const Observation &Observed, const DetectionLimits &Limits,
                const UsualLatency &Usual) {
  if (Observed.Kind != Evidence::Timeout)
    return false;
  return Observed.Latency < config::MinTimeoutForEvidence ||
         inNanoseconds(Observed.Latency) <
             Limits.SlowFactor * inNanoseconds(Usual.High);
}

} // namespace

const char *evidenceName(Evidence Kind) {
  switch (Kind) {
  case Evidence::Success:
    return "success";
  case Evidence::LateSuccess:
    return "late success";
  case Evidence::Failure:
    return "failure";
  case Evidence::Timeout:
    return "timeout";
  case Evidence::ShortDeadlineTimeout:
    return "timeout of a caller with little time";
  case Evidence::Overdue:
    return "request without an answer in the usual time";
  case Evidence::ConnectFailed:
    return "failed connection";
  case Evidence::Shed:
    return "shed";
  case Evidence::Leaving:
    return "leaving mark";
  }
  return "unknown evidence";
}

const char *targetStateName(TargetHealth::State State) {
  switch (State) {
  case TargetHealth::State::Healthy:
    return "healthy";
  case TargetHealth::State::Ejected:
    return "ejected";
  case TargetHealth::State::Probation:
    return "probation";
  }
  return "unknown-state";
}

DetectionLimits DetectionLimits::forPreference(DetectionPreference Preference) {
  if (Preference == DetectionPreference::Fast)
    return {config::FastConsecutiveFailures, config::FastFailureFraction,
            config::SlowFactorFast,          config::OverdueProbabilityFast,
            config::FastReporters,           config::FastVerdicts};
  return {config::CarefulConsecutiveFailures, config::CarefulFailureFraction,
          config::SlowFactorCareful,          config::OverdueProbabilityCareful,
          config::CarefulReporters,           config::CarefulVerdicts};
}

void TargetHealth::observe(const Observation &Observed,
                           const DetectionLimits &Limits,
                           const UsualLatency &Usual) {
  this->updateLeaving(Observed);
  if (Observed.Kind == Evidence::Shed || Observed.Kind == Evidence::Leaving ||
      Observed.Kind == Evidence::ShortDeadlineTimeout)
    return;
  // A response to a probe is no evidence: a gray target passes its probes, and
  // a health endpoint may also fail on a healthy target. A missing one is.
  const bool Responded =
      Observed.Kind == Evidence::Success || Observed.Kind == Evidence::Failure;
  if (Observed.FromProbe && Responded)
    return;
  if (isTooShort(Observed, Limits, Usual))
    return;
  const bool Failed =
      isFailure(Observed.Kind) || isSlow(Observed, Limits, Usual);
  this->addSample(Observed, Failed);
  if (this->Current != State::Ejected)
    this->evaluate(Observed, Limits);
}

void TargetHealth::updateLeaving(const Observation &Observed) {
  if (Observed.Kind == Evidence::Leaving) {
    this->IsLeaving = true;
    this->LastLeaving = Observed.At;
    return;
  }
  const bool ProbePassed =
      Observed.FromProbe && Observed.Kind == Evidence::Success;
  if (ProbePassed &&
      Observed.At - this->LastLeaving >= config::LeavingRetention)
    this->IsLeaving = false;
}

void TargetHealth::addSample(const Observation &Observed, bool Failed) {
  this->Percentiles.reset();
  if (Observed.Kind == Evidence::LateSuccess)
    this->removeOverdueSample();
  this->Window.push_back({Observed.At, Failed, Observed.Latency,
                          Observed.Kind == Evidence::Overdue});
  while (this->Window.size() > config::HealthWindow ||
         Observed.At - this->Window.front().At > config::EvidenceMaxAge)
    this->Window.pop_front();
  // An overdue request may still get a response: it counts as a consecutive
  // failure only once it has timed out.
  if (Observed.Kind != Evidence::Overdue)
    this->Streak = Failed ? this->Streak + 1 : 0;
  this->Kind = Observed.Kind == Evidence::ConnectFailed
                   ? ReportKind::Unreachable
                   : ReportKind::Failing;
}

void TargetHealth::removeOverdueSample() {
  const auto Found =
      std::find_if(this->Window.begin(), this->Window.end(),
                   [](const Sample &Entry) { return Entry.Overdue; });
  if (Found != this->Window.end())
    this->Window.erase(Found);
}

void TargetHealth::evaluate(const Observation &Observed,
                            const DetectionLimits &Limits) {
  const bool OnProbation = this->Current == State::Probation;
  const std::uint32_t Needed =
      OnProbation ? ProbationFailures : Limits.ConsecutiveFailures;
  if (this->Streak >= Needed) {
    this->eject(Observed.At, false,
                std::to_string(this->Streak) +
                    " failures or slow answers in a row, the last a " +
                    evidenceName(Observed.Kind));
    return;
  }
  if (this->Window.size() < config::MinWindowSamples)
    return;
  const double Fraction = this->failureFraction();
  if (Fraction < Limits.FailureFraction)
    return;
  this->eject(Observed.At, false,
              std::to_string(static_cast<int>(Fraction * 100)) +
                  "% of the last " + std::to_string(this->Window.size()) +
                  " requests failed or were slow");
}

void TargetHealth::report(const PeerReport &Report,
                          const DetectionLimits &Limits,
                          const FailureDomain &OwnDomain) {
  if (Report.Kind == ReportKind::Leaving) {
    this->IsLeaving = true;
    this->LastLeaving = Report.At;
    return;
  }
  if (Report.Kind == ReportKind::Ejected) {
    this->addVerdict(Report, Limits);
    return;
  }
  this->Reports[Report.From] = Report;
  if (this->Current != State::Ejected)
    this->evaluateReports(Report.At, Limits, OwnDomain);
}

void TargetHealth::addVerdict(const PeerReport &Report,
                              const DetectionLimits &Limits) {
  // Ejections by other nodes count separately: the reports on which they are
  // based may be withdrawn before all of them arrive at this node.
  this->Verdicts[Report.From] = Report.At;
  const auto Fresh = std::count_if(
      this->Verdicts.begin(), this->Verdicts.end(), [&](const auto &Verdict) {
        return Report.At - Verdict.second <= config::ReportMaxAge;
      });
  if (this->Current == State::Ejected ||
      static_cast<std::size_t>(Fresh) < Limits.Verdicts)
    return;
  this->eject(Report.At, false,
              std::to_string(Fresh) +
                  " nodes ejected it on the reports of several");
}

void TargetHealth::evaluateReports(Instant At, const DetectionLimits &Limits,
                                   const FailureDomain &OwnDomain) {
  std::uint32_t Failures = 0;
  std::size_t Nodes = 0;
  std::set<FailureDomain> UnreachableFrom;
  bool Failing = false;
  const auto Count = [&](std::uint32_t Failed, ReportKind Reported,
                         const FailureDomain &Domain) {
    if (Failed == 0)
      return;
    Failures += Failed;
    ++Nodes;
    if (Reported == ReportKind::Unreachable)
      UnreachableFrom.insert(Domain);
    else
      Failing = true;
  };
  Count(this->Streak, this->Kind, OwnDomain);
  for (const auto &[From, Entry] : this->Reports)
    if (At - Entry.At <= config::ReportMaxAge)
      Count(Entry.Streak, Entry.Kind, Entry.Domain);
  // If only one failure domain can't reach the target, the path is at fault.
  const bool PathOnly =
      !Failing && UnreachableFrom.size() < config::MinUnreachableDomains;
  if (Failures < Limits.ConsecutiveFailures || Nodes < Limits.Reporters ||
      PathOnly)
    return;
  this->eject(At, true,
              std::to_string(Nodes) + " nodes saw " + std::to_string(Failures) +
                  " failures without a success");
}

void TargetHealth::eject(Instant At, bool Group, std::string Reason) {
  if (At - this->LastEjection > config::EjectionCountRetention)
    this->Ejections = 0;
  ++this->Ejections;
  this->LastEjection = At;
  constexpr std::uint32_t MaxDoublings = 10;
  const std::uint32_t Doublings = std::min(this->Ejections - 1, MaxDoublings);
  const Duration Length = std::min<Duration>(
      config::InitialEjectionTime * (1U << Doublings), config::MaxEjectionTime);
  this->StateEnd = At + Length;
  this->Current = State::Ejected;
  this->ByGroup = Group;
  this->Reports.clear();
  this->Verdicts.clear();
  this->StateReason = std::move(Reason);
}

void TargetHealth::warmUp(Instant At, Duration Length) {
  this->Current = State::Probation;
  this->Ramp = Length;
  this->StateEnd = At + Length;
  this->StateReason = "warming up after its start";
}

void TargetHealth::advance(Instant Now) {
  if (this->Current == State::Ejected && Now >= this->StateEnd) {
    this->Current = State::Probation;
    this->ByGroup = false;
    this->Ramp = config::ProbationRamp;
    this->StateEnd = Now + this->Ramp;
    this->Window.clear();
    this->Percentiles.reset();
    this->Reports.clear();
    this->Streak = 0;
    this->StateReason = "on probation after: " + this->StateReason;
    return;
  }
  if (this->Current == State::Probation && Now >= this->StateEnd) {
    this->Current = State::Healthy;
    this->StateReason = "passed probation";
  }
}

double TargetHealth::failureFraction() const {
  if (this->Window.empty())
    return 0;
  const auto Failed =
      std::count_if(this->Window.begin(), this->Window.end(),
                    [](const Sample &Entry) { return Entry.Failed; });
  return static_cast<double>(Failed) / static_cast<double>(this->Window.size());
}

UsualLatency TargetHealth::percentiles() const {
  if (this->Percentiles)
    return *this->Percentiles;
  std::vector<Duration> Latencies;
  for (const Sample &Entry : this->Window)
    if (!Entry.Failed)
      Latencies.push_back(Entry.Latency);
  std::sort(Latencies.begin(), Latencies.end());
  UsualLatency Found;
  if (!Latencies.empty())
    Found.Median = Latencies[Latencies.size() / 2];
  if (Latencies.size() >= config::MinWindowSamples)
    Found.High = Latencies[static_cast<std::size_t>(
        static_cast<double>(Latencies.size()) * config::HighLatencyQuantile)];
  this->Percentiles = Found;
  return Found;
}

Duration TargetHealth::latency() const { return this->percentiles().Median; }

Duration TargetHealth::highLatency() const { return this->percentiles().High; }

double TargetHealth::severity() const {
  const double Slowness = inNanoseconds(this->latency()) /
                          inNanoseconds(Duration(config::MaxDeadline));
  return this->failureFraction() + Slowness + this->Streak;
}

double TargetHealth::share(Instant Now) const {
  if (this->Current != State::Probation)
    return 1.0;
  const Duration Left = std::max(this->StateEnd - Now, Duration::zero());
  const double Elapsed = 1.0 - inNanoseconds(Left) / inNanoseconds(this->Ramp);
  return std::clamp(Elapsed, MinShare, 1.0);
}

} // namespace siskinstage
