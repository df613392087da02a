#include "core/gray_estimate.h"
#include "siskinstage/config.h"

#include <algorithm>
#include <cmath>

namespace siskinstage {

namespace {

/// How much more likely evidence is within a spell than outside.
double likelihoodRatio(Evidence What) {
  constexpr double Gray = config::GrayFailureRatio;
  switch (What) {
  case Evidence::Success:
    return (1 - Gray) / (1 - config::HealthyFailureRatio);
  case Evidence::LateSuccess:
    // What its silence told is taken back.
    return config::HealthyOverdueRatio / Gray * (1 - Gray);
  case Evidence::Overdue:
    return Gray / config::HealthyOverdueRatio;
  case Evidence::Timeout:
    // It was overdue before, which has been counted.
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

double bounded(double Chance) {
  return std::clamp(Chance, config::MinGrayProbability,
                    1 - config::MinGrayProbability);
}

} // namespace

double GrayEstimate::probability(Instant Now) const {
  const double Passed =
      static_cast<double>((Now - this->At).count()) /
      static_cast<double>(Duration(config::GrayDecayTime).count());
  const double Left = std::exp(-std::max(Passed, 0.0));
  return config::GrayPriorProbability +
         (this->Chance - config::GrayPriorProbability) * Left;
}

void GrayEstimate::update(Evidence What, Instant Now) {
  const double Before = this->probability(Now);
  const double Odds = Before / (1 - Before) * likelihoodRatio(What);
  this->Chance = bounded(Odds / (1 + Odds));
  this->At = Now;
}

void GrayEstimate::adopt(double Told, Instant Now) {
  this->Chance = bounded(Told);
  this->At = Now;
  this->ToldGray = this->Chance >= config::GrayThreshold;
}

std::optional<double> GrayEstimate::takeBroadcast(Evidence What, Instant Now) {
  const bool Tells = What != Evidence::ConnectFailed &&
                     What != Evidence::ShortDeadlineTimeout &&
                     What != Evidence::Shed && What != Evidence::Leaving;
  if (!Tells)
    return std::nullopt;
  const double Is = this->probability(Now);
  const bool Gray = Is >= config::GrayThreshold;
  if (!Gray && !this->ToldGray)
    return std::nullopt;
  this->ToldGray = Gray;
  return Is;
}

} // namespace siskinstage
