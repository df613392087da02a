#include "core/targets/pick.h"

#include <algorithm>

namespace siskinstage {

namespace {

std::uint32_t loadOf(const Candidate &Option) {
  return std::max(Option.InFlight, Option.ReportedInFlight);
}

bool isBetter(const Candidate &Left, const Candidate &Right) {
  if (loadOf(Left) != loadOf(Right))
    return loadOf(Left) < loadOf(Right);
  return Left.SameDomain && !Right.SameDomain;
}

} // namespace

std::uint32_t pickWith(PickTwoChoices & /*State*/,
                       const std::vector<Candidate> &Candidates, Random &Rng) {
  const auto Count = static_cast<std::uint32_t>(Candidates.size());
  const Candidate &First = Candidates[Rng.below(Count)];
  const Candidate &Second = Candidates[Rng.below(Count)];
  return isBetter(Second, First) ? Second.Index : First.Index;
}

} // namespace siskinstage
