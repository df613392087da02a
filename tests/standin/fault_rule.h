#ifndef SISKINSTAGE_TESTS_STANDIN_FAULT_RULE_H
#define SISKINSTAGE_TESTS_STANDIN_FAULT_RULE_H

#include "standin/control_server.h"

#include <atomic>
#include <cstdint>

namespace siskinstage::standin {

/// What happens to the bytes of one link in one direction.
struct FaultRule {
  std::atomic<int> DelayMs{0};
  std::atomic<double> DropShare{0};    ///< Datagrams only.
  std::atomic<double> ReorderShare{0}; ///< Datagrams only.
  std::atomic<bool> Cut{false};        ///< Nothing passes, old or new.
  /// Goes up with each order to silence: what is open then passes nothing any
  /// more, while new connections work.
  std::atomic<std::uint64_t> SilentBefore{0};
  std::atomic<std::int64_t> TruncateAfter{-1}; ///< Bytes, then a close.

  void set(const ControlRequest &Asked, std::uint64_t NextConnection);
};

} // namespace siskinstage::standin

#endif // SISKINSTAGE_TESTS_STANDIN_FAULT_RULE_H
