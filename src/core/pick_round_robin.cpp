#include "core/pick.h"

namespace siskinstage {

std::uint32_t pickWith(PickRoundRobin &How,
                       const std::vector<Candidate> &Candidates,
                       Random & /*Rng*/) {
  // The first candidate at or behind the counter, else the first of all.
  for (const Candidate &Each : Candidates) {
    if (Each.Index < How.Next)
      continue;
    How.Next = Each.Index + 1;
    return Each.Index;
  }
  How.Next = Candidates.front().Index + 1;
  return Candidates.front().Index;
}

} // namespace siskinstage
