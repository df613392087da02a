#include "core/targets/placement.h"
#include "core/targets/gray_penalty.h"
#include "core/targets/hang_probability.h"
#include "core/targets/trial_request.h"
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

/// Whether this node should send \p Target a trial request. The node in charge
/// is of the target's failure domain, where it has one; its deputy is not.
bool needsTrial(const PlacementTarget &Target, double GrayProbability,
                bool LeavesDomain) {
  if (Target.SendsTrials && !LeavesDomain &&
      isTrialDue(GrayProbability, Target.Idle, Target.TrialUrgency))
    return true;
  return Target.IsDeputy &&
         isDeputyTrialDue(GrayProbability,
                          std::min(Target.Idle, Target.EvidenceAge),
                          Target.TrialUrgency);
}

/// Penalty of a target that another node fills.
double borrowPenalty(const PlacementTarget &Target) {
  if (Target.Assigned)
    return 0;
  return config::BorrowPenalty +
         (Target.KnownLoad ? 0 : config::UnknownLoadPenalty);
}

} // namespace

bool hasSlot(const PlacementTarget &Target) {
  const double Usable =
      std::max(1.0, std::ceil(Target.Capacity * Target.Share));
  if (Target.Assigned)
    return Target.InFlight < Usable;
  if (!Target.KnownLoad)
    return Target.InFlight == 0;
  return std::max(Target.InFlight, *Target.KnownLoad) < Usable;
}

bool exceedsOwnSlots(std::uint32_t InFlight, std::uint32_t AssignedSlots) {
  return InFlight >= AssignedSlots;
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
  const bool TrialDue = Target.InFlight == 0 &&
                        isTrialRequest(Request, Usual) &&
                        needsTrial(Target, Gray, LeavesDomain);
  if (!TrialDue && Target.Share < 1.0 && Rng.unit() > Target.Share)
    return std::nullopt;
  const double Penalty = grayPenalty(Gray, Target.InFlight, Request.Kind) +
                         (LeavesDomain ? config::LargeBodyPenalty : 0) +
                         borrowPenalty(Target);
  return Candidate{
      Target.Index,    Target.InFlight,   Target.KnownLoad.value_or(0),
      Target.Capacity, Target.SameDomain, Penalty,
      TrialDue};
}

} // namespace siskinstage
