#include "core/targets/pick.h"

#include <algorithm>

namespace siskinstage {

std::uint32_t pickWith(PickLeastInFlight & /*State*/,
                       const std::vector<Candidate> &Candidates, Random &Rng) {
  // Starts at a random index, so that ties are broken at random.
  const auto Count = static_cast<std::uint32_t>(Candidates.size());
  const std::uint32_t Start = Rng.below(Count);
  const Candidate *Best = &Candidates[Start];
  for (std::uint32_t I = 1; I < Count; ++I) {
    const Candidate &Option = Candidates[(Start + I) % Count];
    if (Option.InFlight < Best->InFlight)
      Best = &Option;
  }
  return Best->Index;
}

} // namespace siskinstage
