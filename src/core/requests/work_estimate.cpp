#include "core/requests/work_estimate.h"

#include <algorithm>

namespace siskinstage {

namespace {

/// Observations that the prior counts as.
constexpr double PriorCount = 3;
/// In square MB. With less spread of sizes the slope is chance.
constexpr double MinVariance = 1e-6;
constexpr double MegaByte = 1e6;
/// Of its objective, as the objectives of the page are 3 to 10 times the usual
/// time at a target.
constexpr double PriorObjectiveFraction = 0.3;

} // namespace

void WorkEstimate::observe(Duration Took, std::uint64_t BodyBytes,
                           Instant Now) {
  const double Size = static_cast<double>(BodyBytes) / MegaByte;
  const double Time = std::chrono::duration<double>(Took).count();
  this->Count.add(1, Now);
  this->Sizes.add(Size, Now);
  this->Times.add(Time, Now);
  this->SquaredSizes.add(Size * Size, Now);
  this->Products.add(Size * Time, Now);
  this->Last = Now;
}

Duration WorkEstimate::expected(std::uint64_t BodyBytes, Duration Prior,
                                Instant Now) const {
  const double PriorTime = std::chrono::duration<double>(Prior).count();
  const double N = this->Count.value(Now);
  double Time = PriorTime;
  if (N > 0) {
    const double MeanSize = this->Sizes.value(Now) / N;
    const double MeanTime = this->Times.value(Now) / N;
    const double Variance =
        this->SquaredSizes.value(Now) / N - MeanSize * MeanSize;
    const double Covariance =
        this->Products.value(Now) / N - MeanSize * MeanTime;
    const double Slope =
        Variance > MinVariance ? std::max(0.0, Covariance / Variance) : 0;
    const double Size = static_cast<double>(BodyBytes) / MegaByte;
    const double Seen =
        std::max(MeanTime / 4, MeanTime + Slope * (Size - MeanSize));
    Time = (N * Seen + PriorCount * PriorTime) / (N + PriorCount);
  }
  return std::max<Duration>(Millis(1),
                            std::chrono::duration_cast<Duration>(
                                std::chrono::duration<double>(Time)));
}

std::optional<Duration> WorkEstimate::age(Instant Now) const {
  if (!this->Last)
    return std::nullopt;
  return Now - *this->Last;
}

Duration priorWork(Duration Objective, Duration Median) {
  if (Median > Duration::zero())
    return Median;
  if (Objective <= Duration::zero())
    return Median;
  return std::chrono::duration_cast<Duration>(Objective *
                                              PriorObjectiveFraction);
}

} // namespace siskinstage
