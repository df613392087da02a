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

/// Whether a target should get a trial request because it has had no request
/// for \p Idle. While others have free slots and no request may run twice, only
/// trial requests show that a target has recovered from a gray failure; without
/// them more and more healthy targets would stay idle.
bool isTrialDue(double Probability, Duration Idle);

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_TARGETS_GRAY_PENALTY_H
