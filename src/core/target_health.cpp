#include "core/target_health.h"
#include "siskinstage/config.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace siskinstage {

namespace {

constexpr double LeastShare = 0.1;

bool countsAsFailure(Evidence What) {
  return What == Evidence::Failure || What == Evidence::Timeout ||
         What == Evidence::ConnectFailed;
}

/// A caller in a hurry gave up before the target can be blamed.
bool tooShort(const Observation &Seen, const DetectionLimits &Limits,
              Duration Typical) {
  if (Seen.What != Evidence::Timeout)
    return false;
  const double Patience =
      Limits.SlowFactor * static_cast<double>(Typical.count());
  return Seen.Latency < config::TimeoutEvidenceMinimum ||
         static_cast<double>(Seen.Latency.count()) < Patience;
}

} // namespace

const char *evidenceName(Evidence What) {
  switch (What) {
  case Evidence::Success:
    return "success";
  case Evidence::Failure:
    return "failure";
  case Evidence::Timeout:
    return "timeout";
  case Evidence::ConnectFailed:
    return "connect-failed";
  case Evidence::Shed:
    return "shed";
  case Evidence::Leaving:
    return "leaving";
  }
  return "unknown-evidence";
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

DetectionLimits DetectionLimits::of(DetectionPreference Preference) {
  if (Preference == DetectionPreference::Fast)
    return {config::FastConsecutiveFailures, config::FastFailureFraction,
            config::SlowFactorFast};
  return {config::CarefulConsecutiveFailures, config::CarefulFailureFraction,
          config::SlowFactorCareful};
}

void TargetHealth::observe(const Observation &Seen,
                           const DetectionLimits &Limits, Duration Typical) {
  this->noteLeaving(Seen);
  if (Seen.What == Evidence::Shed || Seen.What == Evidence::Leaving)
    return;
  if (tooShort(Seen, Limits, Typical))
    return;
  const bool Failed = countsAsFailure(Seen.What);
  // A probe that a gray target answers proves nothing.
  if (Seen.FromProbe && !Failed)
    return;
  this->Median.reset();
  this->Window.push_back({Seen.At, Failed, Seen.Latency});
  while (this->Window.size() > config::HealthWindow ||
         Seen.At - this->Window.front().At > config::EvidenceAge)
    this->Window.pop_front();
  this->Consecutive = Failed ? this->Consecutive + 1 : 0;
  if (this->Now != State::Ejected)
    this->judge(Seen, Limits, Typical);
}

void TargetHealth::noteLeaving(const Observation &Seen) {
  if (Seen.What == Evidence::Leaving) {
    this->IsLeaving = true;
    this->LeavingSeen = Seen.At;
    return;
  }
  const bool Answers = Seen.FromProbe && Seen.What == Evidence::Success;
  if (Answers && Seen.At - this->LeavingSeen >= config::LeavingMemory)
    this->IsLeaving = false;
}

void TargetHealth::judge(const Observation &Seen, const DetectionLimits &Limits,
                         Duration Typical) {
  const bool OnProbation = this->Now == State::Probation;
  const int Needed = OnProbation ? 2 : Limits.ConsecutiveFailures;
  if (this->Consecutive >= Needed) {
    this->eject(Seen.At, std::to_string(this->Consecutive) +
                             " failures in a row, the last a " +
                             evidenceName(Seen.What));
    return;
  }
  if (this->Window.size() < config::MinWindowSamples)
    return;
  const double Fraction = this->failureFraction();
  if (Fraction >= Limits.FailureFraction) {
    this->eject(Seen.At, std::to_string(static_cast<int>(Fraction * 100)) +
                             "% of the "
                             "last " +
                             std::to_string(this->Window.size()) +
                             " requests failed");
    return;
  }
  if (this->isSlow(Limits, Typical)) {
    const auto Usual = std::chrono::duration_cast<Millis>(Typical).count();
    const auto Own = std::chrono::duration_cast<Millis>(this->latency());
    this->eject(Seen.At, "median latency " + std::to_string(Own.count()) +
                             " ms, the service's is " + std::to_string(Usual) +
                             " ms");
  }
}

void TargetHealth::eject(Instant At, std::string Reason) {
  if (At - this->LastEjection > config::FlapMemory)
    this->Ejections = 0;
  ++this->Ejections;
  this->LastEjection = At;
  constexpr std::uint32_t MaxDoublings = 10;
  const std::uint32_t Doublings = std::min(this->Ejections - 1, MaxDoublings);
  const Duration Length = std::min<Duration>(
      config::FirstEjection * (1U << Doublings), config::MaxEjection);
  this->Until = At + Length;
  this->Now = State::Ejected;
  this->Why = std::move(Reason);
}

void TargetHealth::advance(Instant At) {
  if (this->Now == State::Ejected && At >= this->Until) {
    this->Now = State::Probation;
    this->Until = At + config::ProbationRamp;
    this->Window.clear();
    this->Median.reset();
    this->Consecutive = 0;
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

Duration TargetHealth::latency() const {
  if (this->Median)
    return *this->Median;
  this->Median = Duration::zero();
  std::vector<Duration> Latencies;
  for (const Sample &Each : this->Window)
    if (!Each.Failed)
      Latencies.push_back(Each.Latency);
  if (Latencies.empty())
    return *this->Median;
  const auto Middle =
      Latencies.begin() + static_cast<std::ptrdiff_t>(Latencies.size() / 2);
  std::nth_element(Latencies.begin(), Middle, Latencies.end());
  this->Median = *Middle;
  return *Middle;
}

bool TargetHealth::isSlow(const DetectionLimits &Limits,
                          Duration Typical) const {
  if (Typical == Duration::zero())
    return false;
  const Duration Own = this->latency();
  const auto Usual = static_cast<double>(Typical.count());
  return Own >= config::SlowMinimum &&
         static_cast<double>(Own.count()) >= Limits.SlowFactor * Usual;
}

double TargetHealth::sickness() const {
  const double Slowness =
      static_cast<double>(this->latency().count()) /
      static_cast<double>(Duration(config::MaxDeadline).count());
  return this->failureFraction() + Slowness + this->Consecutive;
}

double TargetHealth::share(Instant At) const {
  if (this->Now != State::Probation)
    return 1.0;
  const Duration Left = std::max(this->Until - At, Duration::zero());
  const double Passed =
      1.0 - static_cast<double>(Left.count()) /
                static_cast<double>(Duration(config::ProbationRamp).count());
  return std::clamp(Passed, LeastShare, 1.0);
}

} // namespace siskinstage
