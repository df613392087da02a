#ifndef SISKINSTAGE_CORE_GRAY_PENALTY_H
#define SISKINSTAGE_CORE_GRAY_PENALTY_H

#include "core/repeatability.h"
#include "siskinstage/units.h"

#include <cstdint>

namespace siskinstage {

/// The penalty of a target that is gray with \p Probability, as a fraction of
/// its slots. A target that is probably gray gets one request at a time while
/// others have free slots; requests that may run twice are sent to it first.
/// \param InFlight requests of this node at the target.
double grayPenalty(double Probability, std::uint32_t InFlight,
                   Repeatability Kind);

/// Whether a target should get a trial request because it has had no request
/// for \p Idle. Without trial requests, targets that have recovered from a gray
/// failure would not be detected while others have free slots and no request
/// may run twice, so that more and more healthy targets would stay idle.
bool isTrialDue(double Probability, Duration Idle);

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_GRAY_PENALTY_H
