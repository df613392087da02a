#ifndef SISKINSTAGE_CORE_PICK_H
#define SISKINSTAGE_CORE_PICK_H

#include "core/random.h"
#include "siskinstage/service_record.h"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace siskinstage {

/// One target that a request could go to.
struct Candidate {
  std::uint32_t Index = 0;    ///< Place in the service's list of targets.
  std::uint32_t InFlight = 0; ///< Requests of this node at the target.
  std::uint32_t ReportedInFlight =
      0;                      ///< Requests that the target last reported.
  std::uint32_t Capacity = 1; ///< Requests that it works on at once.
  bool SameDomain = false;    ///< In the failure domain of this node.
  double Penalty = 0;         ///< For doubts, in loads of all its slots.
  bool TrialDue = false;      ///< Goes first, see isTrialDue.
};

/// Whether a candidate has a free slot and probably works.
bool isHealthyWithFreeSlot(const Candidate &Each);

/// Any candidate.
struct PickRandom {};

/// One after another. The counter goes on over calls.
struct PickRoundRobin {
  std::uint32_t Next = 0;
};

/// The fewest requests of this node in flight.
struct PickLeastInFlight {};

/// The better of two candidates drawn at random, by this node's requests in
/// flight and the load that the target reported.
struct PickTwoChoices {};

/// The least load for its capacity, with a handicap for the targets of other
/// failure domains; one of the equal ones at random.
struct PickDomainFirst {};

using Policy = std::variant<PickRandom, PickRoundRobin, PickLeastInFlight,
                            PickTwoChoices, PickDomainFirst>;

/// The policy object that a record's name stands for.
Policy makePolicy(RoutingPolicy Name);

/// Chooses one of \p Candidates: of those whose trial is due the one with the
/// lowest handicap, else by the policy. Each policy stands in a file
/// pick_*.cpp.
/// \returns its Index, or nothing if there is none.
std::optional<std::uint32_t>
pick(Policy &How, const std::vector<Candidate> &Candidates, Random &Rng);

std::uint32_t pickWith(PickRandom &How,
                       const std::vector<Candidate> &Candidates, Random &Rng);
std::uint32_t pickWith(PickRoundRobin &How,
                       const std::vector<Candidate> &Candidates, Random &Rng);
std::uint32_t pickWith(PickLeastInFlight &How,
                       const std::vector<Candidate> &Candidates, Random &Rng);
std::uint32_t pickWith(PickTwoChoices &How,
                       const std::vector<Candidate> &Candidates, Random &Rng);
std::uint32_t pickWith(PickDomainFirst &How,
                       const std::vector<Candidate> &Candidates, Random &Rng);

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_PICK_H
