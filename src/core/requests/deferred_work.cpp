#include "core/requests/deferred_work.h"
#include "siskinstage/config.h"

#include <algorithm>

namespace siskinstage {

namespace {

/// Times are drawn up to this much longer than planned, so that requests
/// rejected together don't return together.
constexpr double Spread = 0.5;
/// Priorities beyond this one share a place.
constexpr std::uint32_t LastPriority = 63;

} // namespace

void DeferredWork::drain(double SpareRate, Instant Now) {
  const std::chrono::duration<double> Passed = Now - this->Drained;
  this->Drained = Now;
  double Capacity = std::max(0.0, Passed.count()) * SpareRate;
  while (!this->Returning.empty() && Capacity > 0) {
    const auto First = this->Returning.begin();
    const double Returned = std::min(Capacity, First->second);
    Capacity -= Returned;
    First->second -= Returned;
    if (First->second <= 0)
      this->Returning.erase(First);
  }
}

Duration DeferredWork::place(std::uint32_t Priority, Duration Work,
                             Duration Backlog, double SpareRate, Instant Now) {
  this->drain(SpareRate, Now);
  const std::uint32_t Level = std::min(Priority, LastPriority);
  double Ahead = 0;
  for (const auto &[Other, Amount] : this->Returning)
    Ahead += Other <= Level ? Amount : 0;
  const std::chrono::duration<double> Longest = config::MaxWaitRetryAfter;
  std::chrono::duration<double> After = Longest;
  if (SpareRate > 0)
    After = std::min<std::chrono::duration<double>>(
        Longest, Backlog + std::chrono::duration<double>(Ahead / SpareRate));
  // Later ones are not planned: capacity so far ahead is not known.
  if (After < Longest)
    this->Returning[Level] += std::chrono::duration<double>(Work).count();
  return std::max<Duration>(config::MinRetryAfter,
                            std::chrono::duration_cast<Duration>(
                                After * (1 + Spread * this->Rng.unit())));
}

} // namespace siskinstage
