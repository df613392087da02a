#ifndef SISKINSTAGE_CORE_GRAY_PENALTY_H
#define SISKINSTAGE_CORE_GRAY_PENALTY_H

#include "core/repeatability.h"
#include "siskinstage/units.h"

#include <cstdint>

namespace siskinstage {

/// The handicap, in loads of all its slots, of a target that is gray with
/// \p Chance. A target that is probably gray gets one request at a
/// time, while others have room; work that may run twice tries it first.
/// \param InFlight requests of this node at the target.
double grayPenalty(double Chance, std::uint32_t InFlight, Repeatability Kind);

/// Whether a target should get the next request because it has had none for
/// \p Idle. Answers the load pattern in which targets that were gray are sound
/// again while others have room: where no work may run twice, nothing else
/// would find that out, and more and more sound targets would stand idle.
bool isTrialDue(double Chance, Duration Idle);

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_GRAY_PENALTY_H
