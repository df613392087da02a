#ifndef SISKINSTAGE_NODE_CONNECTION_COUNTS_H
#define SISKINSTAGE_NODE_CONNECTION_COUNTS_H

#include <atomic>
#include <cstdint>

namespace siskinstage {

/// What a ConnectionServer shows of its connections.
struct ConnectionCounts {
  std::atomic<std::uint32_t> Open{0};
  std::atomic<std::uint64_t> Rejected{0}; ///< Closed as soon as they came.
  /// Times that the system gave no descriptor for one that came.
  std::atomic<std::uint64_t> AcceptFailures{0};
  /// Events that the last thread took up, so that requests were refused.
  std::atomic<std::uint64_t> ThreadsExhausted{0};
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_CONNECTION_COUNTS_H
