#include "core/pick.h"

#include <algorithm>

namespace siskinstage {

std::uint32_t pickWith(PickLeastInFlight & /*How*/,
                       const std::vector<Candidate> &Candidates, Random &Rng) {
  // Starts at a random place, so that equal candidates take turns.
  const auto Count = static_cast<std::uint32_t>(Candidates.size());
  const std::uint32_t Start = Rng.below(Count);
  const Candidate *Best = &Candidates[Start];
  for (std::uint32_t I = 1; I < Count; ++I) {
    const Candidate &Each = Candidates[(Start + I) % Count];
    if (Each.InFlight < Best->InFlight)
      Best = &Each;
  }
  return Best->Index;
}

} // namespace siskinstage
