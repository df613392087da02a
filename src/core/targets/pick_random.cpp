#include "core/targets/pick.h"

namespace siskinstage {

std::uint32_t pickWith(PickRandom & /*State*/,
                       const std::vector<Candidate> &Candidates, Random &Rng) {
  const auto Count = static_cast<std::uint32_t>(Candidates.size());
  return Candidates[Rng.below(Count)].Index;
}

} // namespace siskinstage
