#ifndef SISKINSTAGE_CORE_REQUESTS_DEMAND_BY_WORTH_H
#define SISKINSTAGE_CORE_REQUESTS_DEMAND_BY_WORTH_H

#include "core/decayed_sum.h"
#include "siskinstage/units.h"

#include <array>
#include <chrono>
#include <cstddef>

namespace siskinstage {

/// The load it addresses: a lasting shortage, in which a request that finds
/// room is displaced by later ones that are worth more.
///
/// Work that was lately expected to meet its objective, by what its loss costs.
class DemandByWorth {
public:
  /// \param Worth see StartSchedule::Item.
  /// \param Seconds of work; negative if it is late or dropped after all.
  void add(double Worth, double Seconds, Instant Now);
  /// Work per second, in seconds.
  [[nodiscard]] double rate(Instant Now) const { return this->All.rate(Now); }
  /// The same for requests that are worth more than \p Worth, by a step of 5%
  /// or more.
  [[nodiscard]] double rateAbove(double Worth, Instant Now) const;

  /// About the longest time that a request waits.
  static constexpr Duration DecayTime = std::chrono::seconds(2);

private:
  /// Of 5% each: from 1/10,000 to 10,000 requests per second of work.
  static constexpr std::size_t Levels = 384;
  std::array<double, Levels> ByLevel{}; ///< As of LevelsAt.
  Instant LevelsAt;
  DecayedSum All = DecayedSum(DecayTime);

  static std::size_t levelOf(double Worth);
  [[nodiscard]] double decay(Instant Now) const;
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_REQUESTS_DEMAND_BY_WORTH_H
