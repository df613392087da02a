#ifndef SISKINSTAGE_NET_WALL_CLOCK_H
#define SISKINSTAGE_NET_WALL_CLOCK_H

#include <chrono>
#include <cstdint>

namespace siskinstage {

/// Milliseconds since the Unix epoch. Only for timestamps that are compared
/// between machines; local times use bootNow().
inline std::uint64_t wallClockMs() {
  const auto Now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Now).count());
}

} // namespace siskinstage

#endif // SISKINSTAGE_NET_WALL_CLOCK_H
