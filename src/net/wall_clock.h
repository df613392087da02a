#ifndef SISKINSTAGE_NET_WALL_CLOCK_H
#define SISKINSTAGE_NET_WALL_CLOCK_H

#include <chrono>
#include <cstdint>

namespace siskinstage {

/// Milliseconds since 1970. Only for stamps that other machines compare.
inline std::uint64_t wallClockMs() {
  const auto Now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Now).count());
}

} // namespace siskinstage

#endif // SISKINSTAGE_NET_WALL_CLOCK_H
