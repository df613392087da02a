#ifndef SISKINSTAGE_CORE_TARGETS_GRAY_ESTIMATE_H
#define SISKINSTAGE_CORE_TARGETS_GRAY_ESTIMATE_H

#include "core/targets/observation.h"
#include "siskinstage/config.h"
#include "siskinstage/units.h"

#include <optional>

namespace siskinstage {

/// Estimates the probability that a target is in a gray-failure episode, in
/// which it fails most of its requests although its health check succeeds.
/// Designed for targets whose episodes last some seconds and recur: a failure
/// soon after a success is weak evidence, one after a period without requests
/// is strong evidence; a success within an episode does not end it; and
/// evidence decays while a target gets no requests. The model is a Markov chain
/// of two states; each observation is weighted by the ratio of its
/// probabilities within and outside of an episode (Bayes' rule).
class GrayEstimate {
public:
  /// The probability at \p Now, above 0 and below 1.
  [[nodiscard]] double probability(Instant Now) const;
  /// Time since the latest evidence of any node.
  [[nodiscard]] Duration evidenceAge(Instant Now) const {
    return Now - this->UpdatedAt;
  }
  /// Adds the evidence of a request of this node.
  /// \param At the time about which it tells something. That of a timeout is
  ///           when the request became overdue: the target may have recovered
  ///           since, although it never responds to the request.
  void update(Evidence Kind, Instant At);
  /// Replaces the estimate by that of another node, which has newer evidence.
  void adopt(double Received, Instant Now);
  /// Returns the estimate if it must be broadcast to the other nodes after
  /// evidence of \p Kind: whenever the target is suspected, and once when it no
  /// longer is. It is not broadcast after a failed connection, as the paths of
  /// other nodes may work.
  std::optional<double> takeBroadcast(Evidence Kind, Instant Now);

private:
  double Probability = config::GrayPriorProbability;
  Instant UpdatedAt;
  bool BroadcastGray = false; ///< The last broadcast stated a suspicion.
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_TARGETS_GRAY_ESTIMATE_H
