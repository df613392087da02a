#ifndef SISKINSTAGE_NET_BOOT_TIME_H
#define SISKINSTAGE_NET_BOOT_TIME_H

#include "siskinstage/units.h"

namespace siskinstage {

/// Now, on the clock that goes on while the machine is suspended.
Instant bootNow();

/// Time from now to \p Deadline, at least zero.
Duration timeLeft(Instant Deadline);

} // namespace siskinstage

#endif // SISKINSTAGE_NET_BOOT_TIME_H
