#ifndef SISKINSTAGE_CORE_TARGETS_GRAY_PENALTY_H
#define SISKINSTAGE_CORE_TARGETS_GRAY_PENALTY_H

#include "core/requests/repeatability.h"
#include "siskinstage/units.h"

#include <cstdint>

namespace siskinstage {

/// Penalty of a target that is in a gray-failure episode with \p Probability,
/// as a fraction of its slots. While others have free slots, a target that is
/// probably gray gets one request at a time, preferably one that may run twice.
/// \param InFlight requests of this node at the target.
double grayPenalty(double Probability, std::uint32_t InFlight,
                   Repeatability Kind);

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_TARGETS_GRAY_PENALTY_H
