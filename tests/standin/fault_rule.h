#ifndef SISKINSTAGE_TESTS_STANDIN_FAULT_RULE_H
#define SISKINSTAGE_TESTS_STANDIN_FAULT_RULE_H

#include "standin/control_server.h"

#include <atomic>
#include <cstdint>

namespace siskinstage::standin {

/// Faults that a link simulates in one direction.
struct FaultRule {
  std::atomic<int> DelayMs{0};            ///< Delay of each read or datagram.
  std::atomic<double> DropProbability{0}; ///< Datagrams only.
  std::atomic<double> ReorderProbability{0}; ///< Datagrams only.
  std::atomic<bool> Blocked{false}; ///< Holds TCP data back, drops datagrams.
  /// Connections with a lower number relay neither data nor the end of the
  /// stream any more. A silence request raises it, so that open connections are
  /// silenced while new ones work.
  std::atomic<std::uint64_t> SilencedBelow{0};
  /// Bytes after which a connection is closed; negative for no limit.
  std::atomic<std::int64_t> TruncateAfterBytes{-1};

  /// Sets the faults that \p Request names.
  /// \param NextConnection number of the next connection of the link.
  void update(const ControlRequest &Request, std::uint64_t NextConnection);
};

} // namespace siskinstage::standin

#endif // SISKINSTAGE_TESTS_STANDIN_FAULT_RULE_H
