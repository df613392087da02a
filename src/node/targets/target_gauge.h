#ifndef SISKINSTAGE_NODE_TARGETS_TARGET_GAUGE_H
#define SISKINSTAGE_NODE_TARGETS_TARGET_GAUGE_H

#include "core/targets/gray_estimate.h"
#include "core/targets/target_notices.h"
#include "node/targets/connection_pool.h"
#include "siskinstage/config.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace siskinstage {

/// Mutable state of one target that request handlers share. It outlives the
/// snapshots, which are replaced while requests are in flight.
struct TargetGauge {
  std::atomic<std::uint32_t> InFlight{0}; ///< Requests of this node.
  std::atomic<std::uint64_t> Requests{0}; ///< Requests placed so far.
  /// Set as soon as a response or probe announces that the target leaves,
  /// before the decision thread has updated its verdict.
  std::atomic<bool> AnnouncedLeaving{false};
  ConnectionPool Pool;
  /// Start times of the requests in flight; guarded by the lock of the
  /// ServiceGate.
  std::vector<Instant> Started;
  GrayEstimate Gray;     ///< Guarded by the same lock.
  TargetNotices Notices; ///< Guarded by the same lock.
  /// The serving nodes for which this node's share of the rate limit was
  /// computed; guarded by the same lock.
  std::shared_ptr<const ServingGroup> LimitGroup;
  /// When this node last placed a request here; guarded by the same lock.
  Instant LastPlaced;

  /// Stores the number of requests in flight that the target reported.
  void setReportedLoad(std::uint32_t Requests, Instant Now) {
    this->Reported.store(Requests);
    this->PlacedSinceReport.store(0);
    this->ReportedAt.store(Now.time_since_epoch().count());
  }
  /// Counts a request that was placed here.
  void addPlacement() {
    this->InFlight.fetch_add(1);
    this->Requests.fetch_add(1);
    this->PlacedSinceReport.fetch_add(1);
  }
  /// The number of requests in flight that the target last reported, with those
  /// placed since; nothing if the report is older than
  /// config::ReportedLoadMaxAge.
  [[nodiscard]] std::optional<std::uint32_t> knownLoad(Instant Now) const {
    const Instant At{Duration(this->ReportedAt.load())};
    if (Now - At >= config::ReportedLoadMaxAge)
      return std::nullopt;
    return this->Reported.load() + this->PlacedSinceReport.load();
  }

private:
  std::atomic<std::uint32_t> Reported{0};
  std::atomic<std::uint32_t> PlacedSinceReport{0};
  std::atomic<Duration::rep> ReportedAt{0};
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_TARGETS_TARGET_GAUGE_H
