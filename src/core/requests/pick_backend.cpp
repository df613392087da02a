#include "core/requests/pick_backend.h"

namespace siskinstage {

std::size_t pickBackend(const std::vector<RouteBackend> &Backends,
                        Random &Rng) {
  std::uint32_t Total = 0;
  for (const RouteBackend &Backend : Backends)
    Total += Backend.Weight;
  if (Total == 0)
    return 0;
  std::uint32_t Drawn = Rng.below(Total);
  std::size_t Index = 0;
  while (Drawn >= Backends[Index].Weight) {
    Drawn -= Backends[Index].Weight;
    ++Index;
  }
  return Index;
}

} // namespace siskinstage
