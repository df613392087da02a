#ifndef SISKINSTAGE_CORE_RETRY_SHARE_H
#define SISKINSTAGE_CORE_RETRY_SHARE_H

#include "siskinstage/fleet_record.h"

#include <cstddef>

namespace siskinstage {

/// What one node may spend of the fleet's retries for one service.
struct RetryShare {
  double Fraction = 0; ///< Retries for each of its own first tries.
  double Burst = 0;    ///< The most that it may keep.
  /// What a process that has just started may spend; it earns the rest, since
  /// the one before it may have spent its burst.
  double Start = 0;
};

/// A node's view of the fleet.
struct FleetView {
  std::size_t Live = 1;    ///< Live nodes, with this one.
  std::size_t Entries = 0; ///< Nodes that callers are steered to; 0 for all.
  bool IsEntry = true;     ///< This node is one of them.
};

/// The share of a node, so that all shares together stay within the record's
/// budget: the entries have most of the burst, since most requests come there.
RetryShare retryShare(const FleetRecord &Fleet, const FleetView &View);

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_RETRY_SHARE_H
