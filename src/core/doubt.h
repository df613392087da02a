#ifndef SISKINSTAGE_CORE_DOUBT_H
#define SISKINSTAGE_CORE_DOUBT_H

#include "core/repeatability.h"
#include "siskinstage/units.h"

#include <cstdint>

namespace siskinstage {

/// Failures of a target that no success has followed.
struct Doubt {
  std::uint32_t Failures = 0;
  Instant Last; ///< When the last one was seen.
};

/// How long other targets are preferred after \p Failures failures.
Duration doubtLength(std::uint32_t Failures);

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
