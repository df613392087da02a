#ifndef SISKINSTAGE_CORE_GRAY_ESTIMATE_H
#define SISKINSTAGE_CORE_GRAY_ESTIMATE_H

#include "core/observation.h"
#include "siskinstage/config.h"
#include "siskinstage/units.h"

#include <optional>

namespace siskinstage {

/// Chance that a target is in a gray spell, in which it fails most of its work
/// behind a good health check. Answers the load pattern in which targets go
/// gray in turn for some seconds: a failure after a recent success tells
/// little, one after a silence much; a success within a spell clears nothing;
/// and what is known of a target without work fades. Spells begin and end at
/// random (a chain of two states), and each piece of evidence counts by how
/// much more likely it is within a spell.
class GrayEstimate {
public:
  /// The chance at \p Now, from above 0 to below 1.
  [[nodiscard]] double probability(Instant Now) const;
  /// Takes in what a request of this node showed.
  void update(Evidence What, Instant Now);
  /// Takes over the chance of a node that has just seen evidence.
  void adopt(double Chance, Instant Now);
  /// The chance that the other nodes should hear of after \p What, if any: a
  /// rise to probable, or a fall from there. That the target could not be
  /// reached from here says nothing of the paths of others.
  std::optional<double> takeBroadcast(Evidence What, Instant Now);

private:
  double Chance = config::GrayPriorProbability;
  Instant At;
  bool ToldGray = false; ///< The others hold it for probably gray.
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_GRAY_ESTIMATE_H
