#include "core/targets/gray_estimate.h"
#include "siskinstage/config.h"

#include <algorithm>
#include <cmath>

namespace siskinstage {

namespace {

/// Ratio of the probabilities of the evidence within and outside of an episode.
double likelihoodRatio(Evidence Kind) {
  constexpr double Gray = config::GrayFailureRatio;
  switch (Kind) {
  case Evidence::Success:
    return (1 - Gray) / (1 - config::HealthyFailureRatio);
  case Evidence::LateSuccess:
    // Cancels the evidence of the request having been overdue.
    return config::HealthyOverdueRatio / Gray * (1 - Gray);
  case Evidence::Overdue:
    return Gray / config::HealthyOverdueRatio;
  case Evidence::Timeout:
    // The estimate already contains the evidence of the request having been
    // overdue.
    return config::HealthyOverdueRatio / config::HealthyTimeoutRatio;
  case Evidence::Failure:
  case Evidence::ConnectFailed:
    return Gray / config::HealthyFailureRatio;
  case Evidence::ShortDeadlineTimeout:
  case Evidence::Shed:
  case Evidence::Leaving:
    return 1;
  }
  return 1;
}

/// Weight of evidence after \p Elapsed.
double weightAfter(Duration Elapsed) {
  const Duration Decay = config::GrayDecayTime;
  return std::exp(-std::max(static_cast<double>(Elapsed.count()), 0.0) /
                  static_cast<double>(Decay.count()));
}

double bounded(double Probability) {
  return std::clamp(Probability, config::MinGrayProbability,
                    1 - config::MinGrayProbability);
}

} // namespace

double GrayEstimate::probability(Instant Now) const {
  return config::GrayPriorProbability +
         (this->Probability - config::GrayPriorProbability) *
             weightAfter(Now - this->UpdatedAt);
}

void GrayEstimate::update(Evidence Kind, Instant At) {
  // Evidence about a time before the latest evidence has decayed since.
  const Instant Latest = std::max(At, this->UpdatedAt);
  const double Before = this->probability(Latest);
  const double Odds = Before / (1 - Before) *
                      std::pow(likelihoodRatio(Kind), weightAfter(Latest - At));
  this->Probability = bounded(Odds / (1 + Odds));
  this->UpdatedAt = Latest;
}

void GrayEstimate::adopt(double Received, Instant Now) {
  this->Probability = bounded(Received);
  this->UpdatedAt = Now;
  this->BroadcastGray = this->Probability >= config::GrayThreshold;
}

std::optional<double> GrayEstimate::takeBroadcast(Evidence Kind, Instant Now) {
  const bool Relevant = Kind != Evidence::ConnectFailed &&
                        Kind != Evidence::ShortDeadlineTimeout &&
                        Kind != Evidence::Shed && Kind != Evidence::Leaving;
  if (!Relevant)
    return std::nullopt;
  const double Current = this->probability(Now);
  const bool Gray = Current >= config::GrayThreshold;
  if (!Gray && !this->BroadcastGray)
    return std::nullopt;
  this->BroadcastGray = Gray;
  return Current;
}

} // namespace siskinstage
