#ifndef SISKINSTAGE_CORE_REQUESTS_WORK_ESTIMATE_H
#define SISKINSTAGE_CORE_REQUESTS_WORK_ESTIMATE_H

#include "core/decayed_sum.h"
#include "siskinstage/units.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace siskinstage {

/// The load it addresses: requests of different kinds compete for slots, and
/// large uploads take longer than small ones.
///
/// Expected time at a target of the requests of one route, as a linear function
/// of the body's size, from observed times.
class WorkEstimate {
public:
  void observe(Duration Took, std::uint64_t BodyBytes, Instant Now);
  /// \param Prior expected without observations; see priorWork().
  [[nodiscard]] Duration expected(std::uint64_t BodyBytes, Duration Prior,
                                  Instant Now) const;
  /// Time since the last observation, if there is one.
  [[nodiscard]] std::optional<Duration> age(Instant Now) const;

  /// Targets change their speed within some tens of seconds, and a route of the
  /// design load has hundreds of requests in that time.
  static constexpr Duration DecayTime = std::chrono::seconds(30);

private:
  DecayedSum Count = DecayedSum(DecayTime);
  DecayedSum Sizes = DecayedSum(DecayTime); ///< In MB.
  DecayedSum Times = DecayedSum(DecayTime); ///< In seconds.
  DecayedSum SquaredSizes = DecayedSum(DecayTime);
  DecayedSum Products = DecayedSum(DecayTime);
  std::optional<Instant> Last;
};

/// What a request takes at most if it is to meet the objective of its route
/// after a short wait, while nothing else is known.
/// \param Median of the service; zero if it isn't known.
Duration priorWork(Duration Objective, Duration Median);

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_REQUESTS_WORK_ESTIMATE_H
