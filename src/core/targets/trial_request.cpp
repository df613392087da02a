#include "core/targets/trial_request.h"
#include "siskinstage/config.h"

#include <algorithm>

namespace siskinstage {

namespace {

/// The position of \p Value between \p Low (0) and \p High (1).
double ramp(double Value, double Low, double High) {
  return std::clamp((Value - Low) / (High - Low), 0.0, 1.0);
}

double maxTrialProbability(double Urgency) {
  return config::TrialMaxGrayProbability +
         Urgency * (config::UrgentTrialMaxGrayProbability -
                    config::TrialMaxGrayProbability);
}

} // namespace

void ExpectedHealthy::add(double GrayProbability) {
  this->All += 1 - GrayProbability;
  if (GrayProbability >= config::TrialMaxGrayProbability)
    this->Untried += 1 - GrayProbability;
}

double ExpectedHealthy::untriedFraction() const {
  return this->All > 0 ? this->Untried / this->All : 0;
}

double trialUrgency(double Unserved, double Untried) {
  return ramp(Unserved, config::MinUrgentUnserved, config::MaxUrgentUnserved) *
         ramp(Untried, config::MinUrgentUntried, config::MaxUrgentUntried);
}

bool isTrialDue(double GrayProbability, Duration Idle, double Urgency) {
  return Idle >= config::TrialIdleTime &&
         GrayProbability < maxTrialProbability(Urgency);
}

bool isDeputyTrialDue(double GrayProbability, Duration Idle, double Urgency) {
  return Urgency > 0 && Idle >= config::DeputyTrialIdleTime &&
         GrayProbability <
             maxTrialProbability(Urgency) - config::DeputyTrialMargin;
}

} // namespace siskinstage
