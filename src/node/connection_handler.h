#ifndef SISKINSTAGE_NODE_CONNECTION_HANDLER_H
#define SISKINSTAGE_NODE_CONNECTION_HANDLER_H

#include "siskinstage/units.h"

namespace siskinstage {

class TcpConnection;

/// What one port does with its connections. Several threads call it at once.
class ConnectionHandler {
public:
  virtual ~ConnectionHandler() = default;

  /// What becomes of a connection that was served.
  enum class Next {
    Close,
    Idle,       ///< It waits for its next message.
    Incomplete, ///< It waits for the rest of a message that has begun.
  };

  /// Serves what came in on a connection; blocks once a message has begun to
  /// be served, but not for its first line and headers.
  /// \param LastThread no thread waits for the next event meanwhile, so that
  ///        nothing may block: what would is to be refused.
  virtual Next serve(TcpConnection &Peer, bool LastThread) = 0;
  /// Ends a connection whose message has begun and did not go on in time. Must
  /// not block.
  virtual void closeOverdue(TcpConnection &Peer) = 0;
  /// How long a message's first line and headers may take.
  [[nodiscard]] virtual Duration headTimeout() const = 0;
  /// How long a connection may stay open without a byte.
  /// \param Draining the process is about to end.
  [[nodiscard]] virtual Duration idleTimeout(bool Draining) const = 0;
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_CONNECTION_HANDLER_H
