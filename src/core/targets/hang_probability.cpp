#include "core/targets/hang_probability.h"
#include "siskinstage/config.h"

#include <algorithm>
#include <cmath>

namespace siskinstage {

namespace {

constexpr double ProbabilityAtMedian = 0.5;
constexpr double ProbabilityAtHigh = 1.0 - config::HighLatencyQuantile;

bool isKnown(const UsualLatency &Usual) {
  return Usual.Median > Duration::zero() && Usual.High > Usual.Median;
}

} // namespace

double unfinishedProbability(Duration Age, const UsualLatency &Usual) {
  if (!isKnown(Usual))
    return 1.0;
  if (Age <= Usual.Median)
    return std::pow(ProbabilityAtMedian,
                    static_cast<double>(Age.count()) /
                        static_cast<double>(Usual.Median.count()));
  const double Beyond =
      static_cast<double>((Age - Usual.Median).count()) /
      static_cast<double>((Usual.High - Usual.Median).count());
  return ProbabilityAtMedian *
         std::pow(ProbabilityAtHigh / ProbabilityAtMedian, Beyond);
}

Duration overdueAge(const UsualLatency &Usual, double Probability) {
  if (!isKnown(Usual))
    return Duration::zero();
  const double Exponent = std::log(ProbabilityAtMedian / Probability) /
                          std::log(ProbabilityAtMedian / ProbabilityAtHigh);
  return Usual.Median + std::chrono::duration_cast<Duration>(
                            (Usual.High - Usual.Median) * Exponent);
}

double hangProbability(double Prior, const std::vector<Instant> &Started,
                       const UsualLatency &Usual, Instant Now) {
  double Odds = Prior / (1.0 - Prior);
  for (const Instant Start : Started) {
    const double Healthy = std::max(unfinishedProbability(Now - Start, Usual),
                                    config::MinUnfinishedProbability);
    const double Hanging =
        config::GrayFailureRatio + (1.0 - config::GrayFailureRatio) * Healthy;
    Odds *= Hanging / Healthy;
  }
  return Odds / (1.0 + Odds);
}

} // namespace siskinstage
