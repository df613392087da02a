#ifndef SISKINSTAGE_CORE_TARGETS_FLOOR_H
#define SISKINSTAGE_CORE_TARGETS_FLOOR_H

#include "siskinstage/units.h"

#include <vector>

namespace siskinstage {

/// A target, and whether it is to be ejected.
struct EjectionRequest {
  Slots Capacity{0};
  bool Leaving = false; ///< Accepts no new requests in any case.
  bool Eject = false;
  double Severity = 0; ///< Severity of its failures; higher is worse.
};

/// Decides which targets are admitted; leaving targets are not. Of the targets
/// to eject, those with the lowest severity stay admitted until the admitted
/// capacity reaches \p Floor times the capacity of all targets, or no target is
/// left.
/// \returns one flag for each request, in order.
std::vector<bool> admitAboveFloor(const std::vector<EjectionRequest> &Requests,
                                  double Floor);

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_TARGETS_FLOOR_H
