#ifndef SISKINSTAGE_CORE_DOUBT_H
#define SISKINSTAGE_CORE_DOUBT_H

#include "core/observation.h"
#include "core/repeatability.h"
#include "siskinstage/units.h"

#include <cstdint>

namespace siskinstage {

/// Failures of a target that successes have not made up for.
struct Doubt {
  std::uint32_t Units = 0;
  Instant Last;          ///< When the last failure was seen.
  Duration TrialDelay{}; ///< How much later than another node this one tries.
};

/// The units after one more observation. Silence weighs more than a failure
/// that was answered, and an answer that came late takes its silence back.
std::uint32_t doubtAfter(std::uint32_t Units, Evidence What, bool Failed);

/// How long other targets are preferred for \p Units.
Duration doubtLength(std::uint32_t Units);

/// The handicap of a doubted target when one is chosen, for targets that hang
/// most of their work for seconds behind a good health check: they are passed
/// over while others have room, then tried with one request at a time, first
/// with one that may run twice.
/// \param InFlight requests of this node at the target.
/// \returns loads of all its slots, zero without doubt.
double doubtHandicap(const Doubt &Of, std::uint32_t InFlight,
                     Repeatability Kind, Instant Now);

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_DOUBT_H
