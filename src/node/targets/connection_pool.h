#ifndef SISKINSTAGE_NODE_TARGETS_CONNECTION_POOL_H
#define SISKINSTAGE_NODE_TARGETS_CONNECTION_POOL_H

#include "net/tcp_connection.h"
#include "siskinstage/strong_id.h"
#include "siskinstage/units.h"

#include <cstdint>
#include <mutex>
#include <vector>

namespace siskinstage {

/// A connection to a target, with the times that decide whether it may be
/// reused.
struct PooledConnection {
  TcpConnection Connection;
  Instant Opened;
  Instant LastResponse; ///< End of the last response, or when it was opened.
  bool Reused = false;  ///< It has carried an earlier request.
};

/// The idle connections to one target. A connection carries one request at a
/// time and returns to the pool only after a complete response. Thread-safe.
class ConnectionPool {
public:
  struct Stats {
    std::uint64_t Opened = 0;
    std::uint64_t Reused = 0;
    std::uint64_t Dropped = 0; ///< Idle connections that were closed.
  };

  /// Takes an idle connection that the peer has not closed, else opens one.
  /// \param MaxIdle maximum time since the last response on the connection, or
  ///                zero to open a new one in any case.
  /// \returns the fault if connecting fails or takes longer than
  ///          config::ConnectTimeout.
  ConnectionResult<PooledConnection> take(const Address &Endpoint,
                                          Duration MaxIdle, Instant Deadline);
  /// Returns a connection to the pool after a complete response.
  void put(PooledConnection Returned);
  /// Closes every idle connection.
  void clear();
  /// Closes every idle connection, and those that requests in flight return:
  /// the target is gone. The next take() ends this.
  void retire();
  /// Closes idle connections that have reached config::TargetIdleLimit or
  /// config::TargetAgeLimit.
  void expire(Instant Now);
  [[nodiscard]] Stats stats();
  [[nodiscard]] std::size_t idleCount();

private:
  std::mutex Lock;
  std::vector<PooledConnection> Idle;
  bool Retired = false;
  Stats Counts;
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_TARGETS_CONNECTION_POOL_H
