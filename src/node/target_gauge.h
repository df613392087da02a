#ifndef SISKINSTAGE_NODE_TARGET_GAUGE_H
#define SISKINSTAGE_NODE_TARGET_GAUGE_H

#include "core/gray_estimate.h"
#include "node/connection_pool.h"
#include "siskinstage/config.h"

#include <atomic>
#include <cstdint>
#include <vector>

namespace siskinstage {

/// What handlers share about one target; it outlives snapshots.
struct TargetGauge {
  std::atomic<std::uint32_t> InFlight{0};
  std::atomic<std::uint64_t> Requests{0};
  /// Set by a handler that was told so, before the decision thread knows.
  std::atomic<bool> AnnouncedLeaving{false};
  ConnectionPool Pool;
  /// When the requests in flight were placed; guarded by the service's gate.
  std::vector<Instant> Started;
  GrayEstimate Gray; ///< Guarded by the service's gate, too.
  /// When this node last placed a request here; guarded by the gate, too.
  Instant LastPlaced;

  /// Notes the requests that the target stated in an answer.
  void noteLoad(std::uint32_t Requests, Instant Now) {
    this->Reported.store(Requests);
    this->ReportedAt.store(Now.time_since_epoch().count());
  }
  /// What the target last stated, zero once it is too old.
  [[nodiscard]] std::uint32_t reportedLoad(Instant Now) const {
    const Instant At{Duration(this->ReportedAt.load())};
    return Now - At < config::ReportedLoadMaxAge ? this->Reported.load() : 0;
  }

private:
  std::atomic<std::uint32_t> Reported{0};
  std::atomic<Duration::rep> ReportedAt{0};
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_TARGET_GAUGE_H
