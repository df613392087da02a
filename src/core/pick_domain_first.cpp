#include "core/pick.h"
#include "siskinstage/config.h"

#include <algorithm>
#include <limits>

namespace siskinstage {

namespace {

double costOf(const Candidate &Each) {
  const double Load = std::max(Each.InFlight, Each.ReportedInFlight);
  const double Capacity = std::max<std::uint32_t>(Each.Capacity, 1);
  return Load / Capacity +
         (Each.SameDomain ? 0.0 : config::CrossDomainPenalty) + Each.Penalty;
}

} // namespace

bool isHealthyWithFreeSlot(const Candidate &Each) {
  return std::max(Each.InFlight, Each.ReportedInFlight) < Each.Capacity &&
         Each.Penalty < config::MaxHealthyPenalty;
}

std::uint32_t pickWith(PickDomainFirst & /*How*/,
                       const std::vector<Candidate> &Candidates, Random &Rng) {
  double Least = std::numeric_limits<double>::max();
  std::uint32_t Equal = 0;
  std::uint32_t Chosen = 0;
  for (const Candidate &Each : Candidates) {
    const double Cost = costOf(Each);
    if (Cost > Least)
      continue;
    Equal = Cost < Least ? 1 : Equal + 1;
    Least = Cost;
    // Each of the equal ones is kept with the same chance.
    if (Rng.below(Equal) == 0)
      Chosen = Each.Index;
  }
  return Chosen;
}

} // namespace siskinstage
