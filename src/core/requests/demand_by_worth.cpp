#include "core/requests/demand_by_worth.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace siskinstage {

std::size_t DemandByWorth::levelOf(double Worth) {
  constexpr double Step = 1.05;
  static const double LogStep = std::log(Step);
  const double Level = std::log(std::max(Worth, 1e-9)) / LogStep +
                       static_cast<double>(Levels) / 2;
  return static_cast<std::size_t>(
      std::clamp(Level, 0.0, static_cast<double>(Levels - 1)));
}

double DemandByWorth::decay(Instant Now) const {
  return std::exp(-std::max(Duration::zero(), Now - this->LevelsAt) /
                  std::chrono::duration<double>(DecayTime));
}

void DemandByWorth::add(double Worth, double Seconds, Instant Now) {
  this->All.add(Seconds, Now);
  // Growing terms stand for decaying sums, until their scale is renewed.
  if (Now - this->LevelsAt > DecayTime * 16) {
    const double Factor = this->decay(Now);
    for (double &Of : this->ByLevel)
      Of *= Factor;
    this->LevelsAt = Now;
  }
  double &Of = this->ByLevel[levelOf(Worth)];
  Of = std::max(0.0, Of + Seconds / this->decay(Now));
}

double DemandByWorth::rateAbove(double Worth, Instant Now) const {
  const auto Begin = this->ByLevel.begin() + levelOf(Worth) + 1;
  return std::accumulate(Begin, this->ByLevel.end(), 0.0) * this->decay(Now) /
         std::chrono::duration<double>(DecayTime).count();
}

} // namespace siskinstage
