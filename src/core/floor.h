#ifndef SISKINSTAGE_CORE_FLOOR_H
#define SISKINSTAGE_CORE_FLOOR_H

#include "siskinstage/units.h"

#include <vector>

namespace siskinstage {

/// What the health decision wants for one target.
struct EjectionRequest {
  Slots Capacity{0};
  bool Leaving = false; ///< Takes no new work in any case.
  bool Eject = false;
  double Severity = 0; ///< The higher, the sicker.
};

/// Decides which targets stay admitted. A leaving target never does. Of those
/// to eject, the least sick stay in until the admitted capacity reaches
/// \p Floor times the capacity of all targets, or none is left to keep in.
/// \returns one flag for each wish, in order.
std::vector<bool> admitAboveFloor(const std::vector<EjectionRequest> &Wishes,
                                  double Floor);

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_FLOOR_H
