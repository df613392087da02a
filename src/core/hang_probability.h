#ifndef SISKINSTAGE_CORE_HANG_PROBABILITY_H
#define SISKINSTAGE_CORE_HANG_PROBABILITY_H

#include "core/detection_limits.h"
#include "siskinstage/units.h"

#include <vector>

namespace siskinstage {

/// Chance that a sound target takes longer than \p Age for a request: one half
/// at the usual median, a tenth at the usual high latency, and in between and
/// beyond on the exponential through both.
/// \returns 1 while the usual latency is not known.
double unfinishedProbability(Duration Age, const UsualLatency &Usual);

/// The age that a request of a sound target reaches with \p Chance.
/// \returns zero while the usual latency is not known.
Duration overdueAge(const UsualLatency &Usual, double Chance);

/// Chance that a target hangs, by Bayes' rule from the requests that it has not
/// answered. Answers the load pattern of a target that goes gray between two
/// answers: several young requests tell as much as a single old one, before any
/// of them fails.
/// \param Prior   the chance from what was answered, see gray_estimate.h.
/// \param Started when each unfinished request was sent.
double hangProbability(double Prior, const std::vector<Instant> &Started,
                       const UsualLatency &Usual, Instant Now);

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_HANG_PROBABILITY_H
