#ifndef SISKINSTAGE_CORE_TARGETS_PICK_H
#define SISKINSTAGE_CORE_TARGETS_PICK_H

#include "core/random.h"
#include "siskinstage/service_record.h"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace siskinstage {

/// A target that may receive a request.
struct Candidate {
  std::uint32_t Index = 0;    ///< Index in the service's list of targets.
  std::uint32_t InFlight = 0; ///< Requests of this node at the target.
  /// Requests in flight that the target last reported.
  std::uint32_t ReportedInFlight = 0;
  std::uint32_t Capacity = 1; ///< Slots: requests that it runs concurrently.
  bool SameDomain = false;    ///< In the failure domain of this node.
  double Penalty = 0;         ///< As a fraction of its slots.
  bool TrialDue = false;      ///< Precedes the others, see trial_request.h.
};

/// Whether \p Option has a free slot and is probably healthy.
bool isHealthyWithFreeSlot(const Candidate &Option);

/// Draws a candidate at random.
struct PickRandom {};

/// Chooses the candidates in turn.
struct PickRoundRobin {
  std::uint32_t Next = 0;
};

/// Chooses the candidate with the fewest requests of this node in flight.
struct PickLeastInFlight {};

/// Chooses the less loaded of two candidates drawn at random, by this node's
/// requests in flight and the load that the target reported.
struct PickTwoChoices {};

/// Chooses the candidate with the lowest load relative to its capacity, with a
/// penalty for targets of other failure domains. Ties are broken at random.
struct PickDomainFirst {};

using Policy = std::variant<PickRandom, PickRoundRobin, PickLeastInFlight,
                            PickTwoChoices, PickDomainFirst>;

/// Creates the policy for the name in a service record.
Policy makePolicy(RoutingPolicy Name);

/// Chooses one of \p Candidates: if a trial request is due at any, the one of
/// these with the lowest penalty, else by the policy. Each policy is
/// implemented in a file pick_*.cpp.
/// \returns its Index, or nothing if \p Candidates is empty.
std::optional<std::uint32_t>
pick(Policy &Selected, const std::vector<Candidate> &Candidates, Random &Rng);

/// Chooses one of \p Candidates, which must not be empty, by one policy.
/// \returns its Index.
std::uint32_t pickWith(PickRandom &State,
                       const std::vector<Candidate> &Candidates, Random &Rng);
std::uint32_t pickWith(PickRoundRobin &State,
                       const std::vector<Candidate> &Candidates, Random &Rng);
std::uint32_t pickWith(PickLeastInFlight &State,
                       const std::vector<Candidate> &Candidates, Random &Rng);
std::uint32_t pickWith(PickTwoChoices &State,
                       const std::vector<Candidate> &Candidates, Random &Rng);
std::uint32_t pickWith(PickDomainFirst &State,
                       const std::vector<Candidate> &Candidates, Random &Rng);

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_TARGETS_PICK_H
