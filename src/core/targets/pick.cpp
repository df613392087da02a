#include "core/targets/pick.h"

namespace siskinstage {

Policy makePolicy(RoutingPolicy Name) {
  switch (Name) {
  case RoutingPolicy::Random:
    return PickRandom{};
  case RoutingPolicy::RoundRobin:
    return PickRoundRobin{};
  case RoutingPolicy::LeastInFlight:
    return PickLeastInFlight{};
  case RoutingPolicy::TwoChoices:
    return PickTwoChoices{};
  case RoutingPolicy::DomainFirst:
    return PickDomainFirst{};
  }
  return PickTwoChoices{};
}

namespace {

const Candidate *dueTrial(const std::vector<Candidate> &Candidates) {
  const Candidate *Due = nullptr;
  for (const Candidate &Option : Candidates)
    if (Option.TrialDue && (Due == nullptr || Option.Penalty < Due->Penalty))
      Due = &Option;
  return Due;
}

} // namespace

std::optional<std::uint32_t>
pick(Policy &Selected, const std::vector<Candidate> &Candidates, Random &Rng) {
  if (Candidates.empty())
    return std::nullopt;
  if (const Candidate *Due = dueTrial(Candidates))
    return Due->Index;
  return std::visit(
      [&](auto &State) { return pickWith(State, Candidates, Rng); }, Selected);
}

} // namespace siskinstage
