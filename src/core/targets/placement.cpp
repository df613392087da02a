#include "core/targets/placement.h"
#include "core/targets/gray_penalty.h"
#include "core/targets/hang_probability.h"
#include "siskinstage/config.h"

#include <algorithm>
#include <cmath>

namespace siskinstage {

namespace {

/// Whether \p Request may serve as a trial request. A request with less time
/// than a healthy target may take would give no evidence.
bool isTrialRequest(const RequestTraits &Request, const UsualLatency &Usual) {
  return Request.FirstAttempt && Request.TimeLeft >= Usual.High;
}

} // namespace

bool hasSlot(const PlacementTarget &Target) {
  const double Usable = std::ceil(Target.Capacity * Target.Share);
  return Target.InFlight < std::max(1.0, Usable);
}

std::optional<Candidate> candidateOf(const PlacementTarget &Target,
                                     const RequestTraits &Request,
                                     const UsualLatency &Usual, Instant Now,
                                     Random &Rng) {
  if (!hasSlot(Target) || !Target.MayReceive)
    return std::nullopt;
  const bool LeavesDomain = Request.LargeBody && !Target.SameDomain;
  const double Gray =
      hangProbability(Target.GrayProbability, *Target.Started, Usual, Now);
  const bool TrialDue = Target.SendsTrials && Target.InFlight == 0 &&
                        !LeavesDomain && isTrialRequest(Request, Usual) &&
                        isTrialDue(Gray, Target.Idle);
  if (!TrialDue && Target.Share < 1.0 && Rng.unit() > Target.Share)
    return std::nullopt;
  const double Penalty = grayPenalty(Gray, Target.InFlight, Request.Kind) +
                         (LeavesDomain ? config::LargeBodyPenalty : 0);
  return Candidate{Target.Index,    Target.InFlight,   Target.ReportedInFlight,
                   Target.Capacity, Target.SameDomain, Penalty,
                   TrialDue};
}

} // namespace siskinstage
