#include "core/pick.h"

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
  for (const Candidate &Each : Candidates)
    if (Each.TrialDue && (Due == nullptr || Each.Penalty < Due->Penalty))
      Due = &Each;
  return Due;
}

} // namespace

std::optional<std::uint32_t>
pick(Policy &How, const std::vector<Candidate> &Candidates, Random &Rng) {
  if (Candidates.empty())
    return std::nullopt;
  if (const Candidate *Due = dueTrial(Candidates))
    return Due->Index;
  return std::visit([&](auto &Each) { return pickWith(Each, Candidates, Rng); },
                    How);
}

} // namespace siskinstage
