#ifndef SISKINSTAGE_CORE_PLACEMENT_H
#define SISKINSTAGE_CORE_PLACEMENT_H

#include "core/detection_limits.h"
#include "core/pick.h"
#include "core/random.h"
#include "core/repeatability.h"
#include "siskinstage/config.h"
#include "siskinstage/units.h"

#include <optional>
#include <vector>

namespace siskinstage {

/// What a node knows of a target when it places a request.
struct PlacementTarget {
  std::uint32_t Index = 0;    ///< Place in the service's list of targets.
  std::uint32_t InFlight = 0; ///< Requests of this node at the target.
  std::uint32_t ReportedInFlight =
      0;                      ///< Requests that the target last reported.
  std::uint32_t Capacity = 1; ///< Requests that it works on at once.
  double Share = 1.0;         ///< Part of its usual work that it may get.
  bool SameDomain = false;
  double GrayProbability = 0; ///< From what was answered, see gray_estimate.h.
  const std::vector<Instant> *Started = nullptr; ///< Its unfinished requests.
  bool SendsTrials = false; ///< This node tries it when it is idle.
  Duration Idle{};          ///< Since this node's last request to the target.
};

/// A request that needs a target.
struct RequestTraits {
  Repeatability Kind = Repeatability::AtMostOnce;
  bool LargeBody = false;
  /// It was sent to no target yet: a second try must not fail, too.
  bool FirstAttempt = true;
  Duration TimeLeft = config::DefaultDeadline;
};

/// Whether this node may send \p Target one more request.
bool hasSlot(const PlacementTarget &Target);

/// Weighs one target for a request.
/// \returns nothing if the request may not go there now: no slot is free, or
/// the target's share of work spares it.
std::optional<Candidate> candidateOf(const PlacementTarget &Target,
                                     const RequestTraits &Request,
                                     const UsualLatency &Usual, Instant Now,
                                     Random &Rng);

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_PLACEMENT_H
