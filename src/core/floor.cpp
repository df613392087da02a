#include "core/floor.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace siskinstage {

std::vector<bool> admitAboveFloor(const std::vector<EjectionRequest> &Wishes,
                                  double Floor) {
  std::vector<bool> Admitted(Wishes.size(), false);
  std::vector<std::size_t> Sick;
  std::uint64_t Total = 0;
  std::uint64_t In = 0;
  for (std::size_t I = 0; I < Wishes.size(); ++I) {
    Total += Wishes[I].Capacity.Value;
    if (Wishes[I].Leaving)
      continue;
    if (Wishes[I].Eject) {
      Sick.push_back(I);
      continue;
    }
    Admitted[I] = true;
    In += Wishes[I].Capacity.Value;
  }
  std::stable_sort(Sick.begin(), Sick.end(), [&](std::size_t L, std::size_t R) {
    return Wishes[L].Severity < Wishes[R].Severity;
  });
  const double Needed = Floor * static_cast<double>(Total);
  for (const std::size_t I : Sick) {
    if (static_cast<double>(In) >= Needed)
      break;
    Admitted[I] = true;
    In += Wishes[I].Capacity.Value;
  }
  return Admitted;
}

} // namespace siskinstage
