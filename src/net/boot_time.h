#ifndef SISKINSTAGE_NET_BOOT_TIME_H
#define SISKINSTAGE_NET_BOOT_TIME_H

#include "siskinstage/units.h"

namespace siskinstage {

/// Current time of the boot clock, which includes time in suspend.
Instant bootNow();

/// Time left until \p Deadline; zero if it has passed.
Duration timeLeft(Instant Deadline);

} // namespace siskinstage

#endif // SISKINSTAGE_NET_BOOT_TIME_H
