#include "core/pick.h"

namespace siskinstage {

std::uint32_t pickWith(PickRandom & /*How*/,
                       const std::vector<Candidate> &Candidates, Random &Dice) {
  const auto Count = static_cast<std::uint32_t>(Candidates.size());
  return Candidates[Dice.below(Count)].Index;
}

} // namespace siskinstage
