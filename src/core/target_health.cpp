#include "core/target_health.h"
#include "siskinstage/config.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace siskinstage {

namespace {

constexpr double LeastShare = 0.1;
constexpr std::uint32_t ProbationFailures = 2;

bool isFailure(Evidence What) {
  return What == Evidence::Failure || What == Evidence::Timeout ||
         What == Evidence::Overdue || What == Evidence::ConnectFailed;
}

bool isSuccess(Evidence What) {
  return What == Evidence::Success || What == Evidence::LateSuccess;
}

double inNanoseconds(Duration Length) {
  return static_cast<double>(Length.count());
}

/// The answer took much longer than at the service's other targets.
bool isSlow(const Observation &Seen, const DetectionLimits &Limits,
            const UsualLatency &Usual) {
  if (!isSuccess(Seen.Kind) || Usual.High == Duration::zero())
    return false;
  return Seen.Latency >= config::MinSlowLatency &&
         inNanoseconds(Seen.Latency) >=
             Limits.SlowFactor * inNanoseconds(Usual.High);
}

/// A caller in a hurry gave up before the target can be blamed.
bool tooShort(const Observation &Seen, const DetectionLimits &Limits,
              const UsualLatency &Usual) {
  if (Seen.Kind != Evidence::Timeout)
    return false;
  return Seen.Latency < config::MinTimeoutForEvidence ||
         inNanoseconds(Seen.Latency) <
             Limits.SlowFactor * inNanoseconds(Usual.High);
}

} // namespace

const char *evidenceName(Evidence What) {
  switch (What) {
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

const char *targetStateName(TargetHealth::State Now) {
  switch (Now) {
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

void TargetHealth::observe(const Observation &Seen,
                           const DetectionLimits &Limits,
                           const UsualLatency &Usual) {
  this->noteLeaving(Seen);
  if (Seen.Kind == Evidence::Shed || Seen.Kind == Evidence::Leaving ||
      Seen.Kind == Evidence::ShortDeadlineTimeout)
    return;
  // A gray target answers its probes, and a health endpoint may lie both ways:
  // of a probe only the lack of an answer counts.
  const bool Answered =
      Seen.Kind == Evidence::Success || Seen.Kind == Evidence::Failure;
  if (Seen.FromProbe && Answered)
    return;
  if (tooShort(Seen, Limits, Usual))
    return;
  const bool Failed = isFailure(Seen.Kind) || isSlow(Seen, Limits, Usual);
  this->note(Seen, Failed);
  if (this->Now != State::Ejected)
    this->judge(Seen, Limits);
}

void TargetHealth::noteLeaving(const Observation &Seen) {
  if (Seen.Kind == Evidence::Leaving) {
    this->IsLeaving = true;
    this->LeavingSeen = Seen.At;
    return;
  }
  const bool Answers = Seen.FromProbe && Seen.Kind == Evidence::Success;
  if (Answers && Seen.At - this->LeavingSeen >= config::LeavingRetention)
    this->IsLeaving = false;
}

void TargetHealth::note(const Observation &Seen, bool Failed) {
  this->Percentiles.reset();
  this->Window.push_back({Seen.At, Failed, Seen.Latency});
  while (this->Window.size() > config::HealthWindow ||
         Seen.At - this->Window.front().At > config::EvidenceMaxAge)
    this->Window.pop_front();
  // An overdue request may still be answered: it counts as a failure in a row
  // once it has timed out.
  if (Seen.Kind != Evidence::Overdue)
    this->Streak = Failed ? this->Streak + 1 : 0;
  this->Kind = Seen.Kind == Evidence::ConnectFailed ? ReportKind::Unreachable
                                                    : ReportKind::Failing;
}

void TargetHealth::judge(const Observation &Seen,
                         const DetectionLimits &Limits) {
  const bool OnProbation = this->Now == State::Probation;
  const std::uint32_t Needed =
      OnProbation ? ProbationFailures : Limits.ConsecutiveFailures;
  if (this->Streak >= Needed) {
    this->eject(Seen.At, false,
                std::to_string(this->Streak) +
                    " failures or slow answers in a row, the last a " +
                    evidenceName(Seen.Kind));
    return;
  }
  if (this->Window.size() < config::MinWindowSamples)
    return;
  const double Fraction = this->failureFraction();
  if (Fraction < Limits.FailureFraction)
    return;
  this->eject(Seen.At, false,
              std::to_string(static_cast<int>(Fraction * 100)) +
                  "% of the last " + std::to_string(this->Window.size()) +
                  " requests failed or were slow");
}

void TargetHealth::report(const PeerReport &Report,
                          const DetectionLimits &Limits,
                          const FailureDomain &OwnDomain) {
  if (Report.Kind == ReportKind::Leaving) {
    this->IsLeaving = true;
    this->LeavingSeen = Report.At;
    return;
  }
  if (Report.Kind == ReportKind::Ejected) {
    this->takeVerdict(Report, Limits);
    return;
  }
  this->Reports[Report.From] = Report;
  if (this->Now != State::Ejected)
    this->judgeReports(Report.At, Limits, OwnDomain);
}

void TargetHealth::takeVerdict(const PeerReport &Report,
                               const DetectionLimits &Limits) {
  // Reports may have been taken back before all of them were here.
  this->Verdicts[Report.From] = Report.At;
  const auto Fresh = std::count_if(
      this->Verdicts.begin(), this->Verdicts.end(), [&](const auto &Each) {
        return Report.At - Each.second <= config::ReportMaxAge;
      });
  if (this->Now == State::Ejected ||
      static_cast<std::size_t>(Fresh) < Limits.Verdicts)
    return;
  this->eject(Report.At, false,
              std::to_string(Fresh) +
                  " nodes ejected it on the reports of several");
}

void TargetHealth::judgeReports(Instant At, const DetectionLimits &Limits,
                                const FailureDomain &OwnDomain) {
  std::uint32_t Failures = 0;
  std::size_t Nodes = 0;
  std::set<FailureDomain> Unreached;
  bool Failing = false;
  const auto Count = [&](std::uint32_t Failed, ReportKind What,
                         const FailureDomain &Domain) {
    if (Failed == 0)
      return;
    Failures += Failed;
    ++Nodes;
    if (What == ReportKind::Unreachable)
      Unreached.insert(Domain);
    else
      Failing = true;
  };
  Count(this->Streak, this->Kind, OwnDomain);
  for (const auto &[From, Each] : this->Reports)
    if (At - Each.At <= config::ReportMaxAge)
      Count(Each.Streak, Each.Kind, Each.Domain);
  // That one failure domain can't reach the target is a fault of the path.
  const bool PathOnly =
      !Failing && Unreached.size() < config::MinUnreachableDomains;
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
  this->Until = At + Length;
  this->Now = State::Ejected;
  this->ByGroup = Group;
  this->Reports.clear();
  this->Verdicts.clear();
  this->Why = std::move(Reason);
}

void TargetHealth::warmUp(Instant At, Duration Length) {
  this->Now = State::Probation;
  this->Ramp = Length;
  this->Until = At + Length;
  this->Why = "warming up after its start";
}

void TargetHealth::advance(Instant At) {
  if (this->Now == State::Ejected && At >= this->Until) {
    this->Now = State::Probation;
    this->ByGroup = false;
    this->Ramp = config::ProbationRamp;
    this->Until = At + this->Ramp;
    this->Window.clear();
    this->Percentiles.reset();
    this->Reports.clear();
    this->Streak = 0;
    this->Why = "on probation after: " + this->Why;
    return;
  }
  if (this->Now == State::Probation && At >= this->Until) {
    this->Now = State::Healthy;
    this->Why = "passed probation";
  }
}

double TargetHealth::failureFraction() const {
  if (this->Window.empty())
    return 0;
  const auto Failed =
      std::count_if(this->Window.begin(), this->Window.end(),
                    [](const Sample &Each) { return Each.Failed; });
  return static_cast<double>(Failed) / static_cast<double>(this->Window.size());
}

UsualLatency TargetHealth::percentiles() const {
  if (this->Percentiles)
    return *this->Percentiles;
  std::vector<Duration> Latencies;
  for (const Sample &Each : this->Window)
    if (!Each.Failed)
      Latencies.push_back(Each.Latency);
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

double TargetHealth::share(Instant At) const {
  if (this->Now != State::Probation)
    return 1.0;
  const Duration Left = std::max(this->Until - At, Duration::zero());
  const double Passed = 1.0 - inNanoseconds(Left) / inNanoseconds(this->Ramp);
  return std::clamp(Passed, LeastShare, 1.0);
}

} // namespace siskinstage
