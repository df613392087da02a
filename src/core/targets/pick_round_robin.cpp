#include "core/targets/pick.h"

namespace siskinstage {

std::uint32_t pickWith(PickRoundRobin &State,
                       const std::vector<Candidate> &Candidates,
                       Random & /*Rng*/) {
  // The first candidate at or after the next index, else the first of all.
  for (const Candidate &Option : Candidates) {
    if (Option.Index < State.Next)
      continue;
    State.Next = Option.Index + 1;
    return Option.Index;
  }
  State.Next = Candidates.front().Index + 1;
  return Candidates.front().Index;
}

} // namespace siskinstage
