#ifndef SISKINSTAGE_UNITS_H
#define SISKINSTAGE_UNITS_H

#include <chrono>
#include <compare>
#include <cstdint>

namespace siskinstage {

/// The clock that counts from the boot of the machine, including the time in
/// which it is suspended. The core never reads it; times are passed in.
struct BootClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;
};

using Instant = BootClock::time_point;
using Duration = std::chrono::nanoseconds;
using Millis = std::chrono::milliseconds;

/// Revision of a record; a record is replaced only by one with a higher
/// revision.
struct Revision {
  std::uint64_t Value = 0;
  auto operator<=>(const Revision &) const = default;
};

/// Identifies one run of a process. A node draws a random one at each start.
struct Incarnation {
  std::uint64_t Value = 0;
  auto operator<=>(const Incarnation &) const = default;
};

/// Number of an epoch of idempotency keys, counted from the start of the node
/// process that issues them.
struct KeyEpoch {
  std::uint32_t Value = 0;
  auto operator<=>(const KeyEpoch &) const = default;
};

/// Number of requests that a target processes concurrently.
struct Slots {
  std::uint32_t Value = 0;
  auto operator<=>(const Slots &) const = default;
};

} // namespace siskinstage

#endif // SISKINSTAGE_UNITS_H
