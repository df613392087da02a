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

/// Epoch of the platform's history of changes. It rises when the platform
/// returns from an older copy: the changes that the copy lacks are lost, and
/// their revisions are assigned again.
struct HistoryEpoch {
  std::uint64_t Value = 0;
  auto operator<=>(const HistoryEpoch &) const = default;
};

/// Order of a record according to its writer, which keeps it when the platform
/// loses the record.
struct WriterVersion {
  std::uint64_t Process = 0; ///< Rises with each start of the writer.
  std::uint64_t Count = 0;   ///< Rises with each change that it writes.
  bool Deleted = false;      ///< Deleted after this change.
  auto operator<=>(const WriterVersion &) const = default;
  /// Whether the writer states an order.
  [[nodiscard]] bool isStated() const {
    return this->Process > 0 || this->Count > 0;
  }
};

/// Revision of a record; a record is replaced only by one with a higher
/// revision. The writer's version comes first, as the platform may return to an
/// older state of the record under a new epoch.
struct Revision {
  std::uint64_t Value = 0; ///< Unique within an epoch.
  HistoryEpoch Epoch;
  WriterVersion Writer;
  bool operator==(const Revision &) const = default;
  std::strong_ordering operator<=>(const Revision &Other) const {
    if (const auto Order = this->Writer <=> Other.Writer; Order != 0)
      return Order;
    if (const auto Order = this->Epoch <=> Other.Epoch; Order != 0)
      return Order;
    return this->Value <=> Other.Value;
  }
  /// The position in the platform's history: the revision without the writer's
  /// version.
  [[nodiscard]] Revision position() const {
    return {this->Value, this->Epoch, {}};
  }
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
