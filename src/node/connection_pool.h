#ifndef SISKINSTAGE_NODE_CONNECTION_POOL_H
#define SISKINSTAGE_NODE_CONNECTION_POOL_H

#include "net/wire.h"
#include "siskinstage/strong_id.h"
#include "siskinstage/units.h"

#include <cstdint>
#include <mutex>
#include <vector>

namespace siskinstage {

/// A connection to a target with what decides whether it may be used again.
struct PooledConnection {
  Wire Connection;
  Instant Opened;
  Instant LastAnswer;
  bool Reused = false; ///< It has carried a request before.
};

/// The idle connections to one target. Every connection carries one request at
/// a time and comes back only after a whole answer.
class ConnectionPool {
public:
  struct Stats {
    std::uint64_t Opened = 0;
    std::uint64_t Reused = 0;
    std::uint64_t Dropped = 0; ///< Idle ones closed for age or staleness.
  };

  /// An idle connection that still looks alive, else a new one.
  /// \param MaxSilence the longest time since its last answer; zero for a new
  ///                   connection in any case.
  WireResult<PooledConnection> take(const Address &Where, Duration MaxSilence,
                                    Instant Deadline);
  /// Takes back a connection after a whole answer.
  void put(PooledConnection Back);
  /// Closes every idle connection.
  void clear();
  /// Closes idle connections past their age or idle limit.
  void expire(Instant Now);
  [[nodiscard]] Stats stats();
  [[nodiscard]] std::size_t idle();

private:
  std::mutex Lock;
  std::vector<PooledConnection> Idle;
  Stats Counts;
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_CONNECTION_POOL_H
