#ifndef SISKINSTAGE_CORE_REQUESTS_RETRY_SHARE_H
#define SISKINSTAGE_CORE_REQUESTS_RETRY_SHARE_H

#include "siskinstage/fleet_record.h"

#include <cstddef>

namespace siskinstage {

/// One node's share of the fleet's retry budget for one service.
struct RetryShare {
  double Fraction = 0; ///< Retries per own first attempt.
  double Burst = 0;    ///< Maximum number of retries in its bucket.
  /// Retries that a new process starts with; less than Burst, since the
  /// previous process may have used its burst.
  double Start = 0;
};

/// The fleet as one node sees it.
struct FleetView {
  std::size_t Live = 1;    ///< Live nodes, including this one.
  std::size_t Entries = 0; ///< Nodes to which callers are steered; 0 for all.
  bool IsEntry = true;     ///< This node is an entry.
};

/// The share of this node; the shares of all nodes together stay within the
/// budget of the fleet record. The entries have most of the burst, since they
/// receive most requests.
RetryShare retryShare(const FleetRecord &Fleet, const FleetView &View);

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_REQUESTS_RETRY_SHARE_H
