#ifndef SISKINSTAGE_NODE_TARGET_GAUGE_H
#define SISKINSTAGE_NODE_TARGET_GAUGE_H

#include "node/connection_pool.h"

#include <atomic>
#include <cstdint>

namespace siskinstage {

/// What handlers share about one target; it outlives snapshots.
struct TargetGauge {
  std::atomic<std::uint32_t> InFlight{0};
  /// Requests that the target reported in its last answer.
  std::atomic<std::uint32_t> Reported{0};
  std::atomic<std::uint64_t> Requests{0};
  /// Set by a handler that was told so, before the decision thread knows.
  std::atomic<bool> SaidLeaving{false};
  ConnectionPool Pool;
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_TARGET_GAUGE_H
