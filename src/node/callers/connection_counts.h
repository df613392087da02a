#ifndef SISKINSTAGE_NODE_CALLERS_CONNECTION_COUNTS_H
#define SISKINSTAGE_NODE_CALLERS_CONNECTION_COUNTS_H

#include <atomic>
#include <cstdint>

namespace siskinstage {

/// Connection counts of a ConnectionServer, for metrics.
struct ConnectionCounts {
  std::atomic<std::uint32_t> Open{0};
  std::atomic<std::uint64_t> Rejected{0}; ///< Closed on accept, over the limit.
  /// Times that no descriptor or memory was left to accept a connection.
  std::atomic<std::uint64_t> AcceptFailures{0};
  /// Times that a request had to wait for a thread, as all were busy.
  std::atomic<std::uint64_t> ThreadsExhausted{0};
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_CALLERS_CONNECTION_COUNTS_H
