#ifndef SISKINSTAGE_CORE_TARGETS_HANG_PROBABILITY_H
#define SISKINSTAGE_CORE_TARGETS_HANG_PROBABILITY_H

#include "core/targets/detection_limits.h"
#include "siskinstage/units.h"

#include <vector>

namespace siskinstage {

/// Probability that a healthy target takes longer than \p Age for a request:
/// 0.5 at the median, 0.1 at the high latency, and exponential between and
/// beyond these points.
/// \returns 1 while the usual latency is not known.
double unfinishedProbability(Duration Age, const UsualLatency &Usual);

/// The age that a request of a healthy target reaches with \p Probability.
/// \returns zero while the usual latency is not known.
Duration overdueAge(const UsualLatency &Usual, double Probability);

/// Probability that a target hangs, by Bayes' rule from its unfinished
/// requests. Detects a gray failure that begins between two responses, before
/// any request fails: several young requests are as strong evidence as a single
/// old one.
/// \param Prior   the probability from earlier requests, see gray_estimate.h.
/// \param Started when each unfinished request was sent.
double hangProbability(double Prior, const std::vector<Instant> &Started,
                       const UsualLatency &Usual, Instant Now);

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_TARGETS_HANG_PROBABILITY_H
