#ifndef SISKINSTAGE_CORE_TARGETS_PLACEMENT_H
#define SISKINSTAGE_CORE_TARGETS_PLACEMENT_H

#include "core/random.h"
#include "core/requests/repeatability.h"
#include "core/targets/detection_limits.h"
#include "core/targets/pick.h"
#include "siskinstage/config.h"
#include "siskinstage/units.h"

#include <optional>
#include <vector>

namespace siskinstage {

/// State of a target at this node when it places a request.
struct PlacementTarget {
  std::uint32_t Index = 0;    ///< Index in the service's list of targets.
  std::uint32_t InFlight = 0; ///< Requests of this node at the target.
  /// Requests of all nodes at the target: those that it last reported, and
  /// those that this node has sent since. Nothing if the report is too old.
  std::optional<std::uint32_t> KnownLoad;
  std::uint32_t Capacity = 1; ///< Slots: requests that it runs concurrently.
  double Share = 1.0;         ///< Fraction of its usual load that it may get.
  bool SameDomain = false;    ///< In the failure domain of this node.
  double GrayProbability = 0; ///< From earlier requests, see gray_estimate.h.
  /// Start times of its unfinished requests.
  const std::vector<Instant> *Started = nullptr;
  bool SendsTrials = false; ///< This node is in charge of its trial requests.
  Duration Idle{};          ///< Time since this node's last request to it.
  /// What the target states allows a request of this node, see TargetNotices.
  bool MayReceive = true;
  /// This node may use all slots of the target, see hasSlot().
  bool Assigned = true;
  /// This node sends its trial requests if the node in charge sends none.
  bool IsDeputy = false;
  Duration EvidenceAge{};  ///< Time since the latest evidence of any node.
  double TrialUrgency = 0; ///< Of its service, see trialUrgency().
};

/// Properties of a request that needs a target.
struct RequestTraits {
  Repeatability Kind = Repeatability::AtMostOnce;
  bool LargeBody = false;
  /// The request was not sent to any target yet. A retry does not serve as a
  /// trial request, which may fail again.
  bool FirstAttempt = true;
  Duration TimeLeft = config::DefaultDeadline;
};

/// Whether this node may send \p Target one more request. Where it may not use
/// all slots of the target, it uses those that the target has reported to be
/// free, or one if the report is too old. The load for this: more requests
/// arrive than a service can run. Several nodes that each fill every target up
/// to its slots would fill the targets' queues, which know no priorities and
/// reject what they can't hold. Each target is therefore assigned to one node;
/// see exceedsOwnSlots().
bool hasSlot(const PlacementTarget &Target);

/// Whether a node with \p InFlight requests at a service has as many as the
/// targets that are assigned to it have slots. If not, it may use all slots of
/// every target: its share of the load is below its share of the slots.
bool exceedsOwnSlots(std::uint32_t InFlight, std::uint32_t AssignedSlots);

/// Evaluates one target for a request.
/// \returns nothing if the request may not be sent there now: no slot is free,
/// what the target states does not allow it, or the target has a reduced share
/// of the load and was not drawn for it.
std::optional<Candidate> candidateOf(const PlacementTarget &Target,
                                     const RequestTraits &Request,
                                     const UsualLatency &Usual, Instant Now,
                                     Random &Rng);

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_TARGETS_PLACEMENT_H
