#ifndef SISKINSTAGE_CORE_GRAY_HANDICAP_H
#define SISKINSTAGE_CORE_GRAY_HANDICAP_H

#include "core/repeatability.h"

#include <cstdint>

namespace siskinstage {

/// The handicap, in loads of all its slots, of a target that is gray with
/// \p Chance. A target that is probably gray gets one request at a
/// time, while others have room; work that may run twice tries it first.
/// \param InFlight requests of this node at the target.
double grayHandicap(double Chance, std::uint32_t InFlight, Repeatability Kind);

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_GRAY_HANDICAP_H
