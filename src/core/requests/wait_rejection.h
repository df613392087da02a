#ifndef SISKINSTAGE_CORE_REQUESTS_WAIT_REJECTION_H
#define SISKINSTAGE_CORE_REQUESTS_WAIT_REJECTION_H

#include "core/requests/waiting_request.h"
#include "siskinstage/units.h"

namespace siskinstage {

/// A request that a WaitQueue has removed without giving it a slot. It has not
/// run, unless an earlier attempt of it has.
struct Rejected {
  enum class Reason {
    Full,      ///< The bound on waiting requests or on their bytes is reached.
    TooLate,   ///< No slot is expected early enough for its deadline.
    Displaced, ///< Its place went to a request whose loss costs callers more.
  };

  WaitId Id;
  Reason Why = Reason::Full;
  /// Time until the queue is expected to have capacity for such a request.
  Duration RetryAfter{};
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_REQUESTS_WAIT_REJECTION_H
