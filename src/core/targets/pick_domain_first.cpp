#include "core/targets/pick.h"
#include "siskinstage/config.h"

#include <algorithm>
#include <limits>

namespace siskinstage {

namespace {

double costOf(const Candidate &Option) {
  const double Load = std::max(Option.InFlight, Option.ReportedInFlight);
  const double Capacity = std::max<std::uint32_t>(Option.Capacity, 1);
  return Load / Capacity +
         (Option.SameDomain ? 0.0 : config::CrossDomainPenalty) +
         Option.Penalty;
}

} // namespace

bool isHealthyWithFreeSlot(const Candidate &Option) {
  return std::max(Option.InFlight, Option.ReportedInFlight) < Option.Capacity &&
         Option.Penalty < config::MaxHealthyPenalty;
}

std::uint32_t pickWith(PickDomainFirst & /*State*/,
                       const std::vector<Candidate> &Candidates, Random &Rng) {
  double Lowest = std::numeric_limits<double>::max();
  std::uint32_t Ties = 0;
  std::uint32_t Chosen = 0;
  for (const Candidate &Option : Candidates) {
    const double Cost = costOf(Option);
    if (Cost > Lowest)
      continue;
    Ties = Cost < Lowest ? 1 : Ties + 1;
    Lowest = Cost;
    // Reservoir sampling: ties are broken with equal probability.
    if (Rng.below(Ties) == 0)
      Chosen = Option.Index;
  }
  return Chosen;
}

} // namespace siskinstage
