#include "core/targets/floor.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace siskinstage {

std::vector<bool> admitAboveFloor(const std::vector<EjectionRequest> &Requests,
                                  double Floor) {
  std::vector<bool> Admitted(Requests.size(), false);
  std::vector<std::size_t> ToEject;
  std::uint64_t Total = 0;
  std::uint64_t AdmittedCapacity = 0;
  for (std::size_t I = 0; I < Requests.size(); ++I) {
    Total += Requests[I].Capacity.Value;
    if (Requests[I].Leaving)
      continue;
    if (Requests[I].Eject) {
      ToEject.push_back(I);
      continue;
    }
    Admitted[I] = true;
    AdmittedCapacity += Requests[I].Capacity.Value;
  }
  std::stable_sort(ToEject.begin(), ToEject.end(),
                   [&](std::size_t L, std::size_t R) {
                     return Requests[L].Severity < Requests[R].Severity;
                   });
  const double Needed = Floor * static_cast<double>(Total);
  for (const std::size_t I : ToEject) {
    if (static_cast<double>(AdmittedCapacity) >= Needed)
      break;
    Admitted[I] = true;
    AdmittedCapacity += Requests[I].Capacity.Value;
  }
  return Admitted;
}

} // namespace siskinstage
