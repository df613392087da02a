#include "core/hang_probability.h"
#include "siskinstage/config.h"

#include <algorithm>
#include <cmath>

namespace siskinstage {

namespace {

constexpr double ChanceAtMedian = 0.5;
constexpr double ChanceAtHigh = 1.0 - config::HighLatencyQuantile;

bool isKnown(const UsualLatency &Usual) {
  return Usual.Median > Duration::zero() && Usual.High > Usual.Median;
}

} // namespace

double unfinishedProbability(Duration Age, const UsualLatency &Usual) {
  if (!isKnown(Usual))
    return 1.0;
  if (Age <= Usual.Median)
    return std::pow(ChanceAtMedian,
                    static_cast<double>(Age.count()) /
                        static_cast<double>(Usual.Median.count()));
  const double Beyond =
      static_cast<double>((Age - Usual.Median).count()) /
      static_cast<double>((Usual.High - Usual.Median).count());
  return ChanceAtMedian * std::pow(ChanceAtHigh / ChanceAtMedian, Beyond);
}

Duration overdueAge(const UsualLatency &Usual, double Chance) {
  if (!isKnown(Usual))
    return Duration::zero();
  const double Share = std::log(ChanceAtMedian / Chance) /
                       std::log(ChanceAtMedian / ChanceAtHigh);
  return Usual.Median + std::chrono::duration_cast<Duration>(
                            (Usual.High - Usual.Median) * Share);
}

double hangProbability(double Prior, const std::vector<Instant> &Started,
                       const UsualLatency &Usual, Instant Now) {
  double Odds = Prior / (1.0 - Prior);
  for (const Instant Each : Started) {
    const double Sound = std::max(unfinishedProbability(Now - Each, Usual),
                                  config::MinUnfinishedProbability);
    const double Hanging =
        config::GrayFailureRatio + (1.0 - config::GrayFailureRatio) * Sound;
    Odds *= Hanging / Sound;
  }
  return Odds / (1.0 + Odds);
}

} // namespace siskinstage
