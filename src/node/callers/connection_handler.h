#ifndef SISKINSTAGE_NODE_CALLERS_CONNECTION_HANDLER_H
#define SISKINSTAGE_NODE_CALLERS_CONNECTION_HANDLER_H

#include "siskinstage/units.h"

namespace siskinstage {

class TcpConnection;

/// Serves the connections of one port. Several threads call it concurrently.
class ConnectionHandler {
public:
  virtual ~ConnectionHandler() = default;

  /// The state of a connection after it was served.
  enum class Next {
    Close,
    Idle,       ///< Waits for the next message.
    Incomplete, ///< Waits for the rest of a partially received message.
  };

  /// Serves the input of a connection. It must not block while it reads the
  /// head of a message; it may block after the head is complete.
  /// \param LastThread no other thread waits for events, so that the call must
  ///        not block at all: a message that would block is rejected.
  virtual Next serve(TcpConnection &Peer, bool LastThread) = 0;
  /// Handles a connection on which the head of a message was not complete in
  /// time; the server then closes it. Must not block.
  virtual void closeOverdue(TcpConnection &Peer) = 0;
  /// Time limit for the head of a message, from its first byte.
  [[nodiscard]] virtual Duration headTimeout() const = 0;
  /// How long a connection may stay idle.
  /// \param Draining the process is shutting down.
  [[nodiscard]] virtual Duration idleTimeout(bool Draining) const = 0;
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_CALLERS_CONNECTION_HANDLER_H
