#ifndef SISKINSTAGE_CORE_REQUESTS_DRAIN_SCHEDULE_H
#define SISKINSTAGE_CORE_REQUESTS_DRAIN_SCHEDULE_H

#include "siskinstage/units.h"

namespace siskinstage {

/// Times of a planned stop. What is in flight when the process exits is cut, so
/// late requests are sent to targets only if they end before, and requests that
/// are still open shortly before the exit are answered without their target.
struct DrainSchedule {
  /// Until then, any request may be sent.
  Instant LastSend;
  /// When the requests that are still open are answered. As late as possible:
  /// until then, their targets may respond.
  Instant LastAnswer;
  /// When the process exits, even if requests are in flight.
  Instant Exit;

  /// \param Limit time from the start of the drain to the exit.
  static DrainSchedule starting(Instant Now, Duration Limit);

  /// The latest time at which a request that ends by \p Deadline may be sent to
  /// a target, and its body be read.
  [[nodiscard]] Instant sendLimit(Instant Deadline) const;
  /// The latest time at which a request that ends by \p Deadline may wait for
  /// its target.
  [[nodiscard]] Instant waitLimit(Instant Deadline) const;
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_REQUESTS_DRAIN_SCHEDULE_H
