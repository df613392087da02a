#ifndef SISKINSTAGE_CORE_TARGETS_TRIAL_REQUEST_H
#define SISKINSTAGE_CORE_TARGETS_TRIAL_REQUEST_H

#include "siskinstage/units.h"

namespace siskinstage {

/// The targets of a service that are expected to be healthy, as a sum of
/// probabilities, and those of them that get no trial request yet because they
/// are too probably gray.
struct ExpectedHealthy {
  double All = 0;
  double Untried = 0;

  void add(double GrayProbability);
  /// From 0 to 1.
  [[nodiscard]] double untriedFraction() const;
};

/// How much a service needs trial requests to targets that are probably still
/// gray. A trial that fails costs a request, so that there are few of them
/// while the service serves well; but a service that fails many requests, and
/// keeps a part of its healthy targets out of use, gets no capacity back
/// without them.
/// \param Unserved the fraction of the service's requests that is not served.
/// \param Untried  see ExpectedHealthy::untriedFraction().
/// \returns 0 (not at all) to 1.
double trialUrgency(double Unserved, double Untried);

/// Whether the node in charge of a target should send it a trial request, which
/// it has not sent a request for \p Idle. While others have free slots and no
/// request may run twice, only trial requests show that a target has recovered
/// from a gray failure; without them more and more healthy targets would stay
/// idle.
bool isTrialDue(double GrayProbability, Duration Idle, double Urgency = 0);

/// Whether the deputy of the node in charge should send the trial request,
/// since that node seems to have no requests of the service.
/// \param Idle time since this node sent the target a request or another node
///             told evidence about it.
bool isDeputyTrialDue(double GrayProbability, Duration Idle, double Urgency);

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_TARGETS_TRIAL_REQUEST_H
