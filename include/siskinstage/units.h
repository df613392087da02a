#ifndef SISKINSTAGE_UNITS_H
#define SISKINSTAGE_UNITS_H

#include <chrono>
#include <compare>
#include <cstdint>

namespace siskinstage {

/// Tag of the clock that counts from the start of the machine and goes on
/// while it is suspended. The core only receives its values, it never reads
/// it.
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

/// Revision of a record; only a higher one replaces a lower one.
struct Revision {
  std::uint64_t Value = 0;
  auto operator<=>(const Revision &) const = default;
};

/// Number drawn anew at each start of a node process.
struct Incarnation {
  std::uint64_t Value = 0;
  auto operator<=>(const Incarnation &) const = default;
};

/// Number of the key period of one node process, counted from its start.
struct KeyEpoch {
  std::uint32_t Value = 0;
  auto operator<=>(const KeyEpoch &) const = default;
};

/// How many requests a target works on at once.
struct Slots {
  std::uint32_t Value = 0;
  auto operator<=>(const Slots &) const = default;
};

} // namespace siskinstage

#endif // SISKINSTAGE_UNITS_H
