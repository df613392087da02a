#ifndef SISKINSTAGE_NODE_CALLERS_CONNECTION_HANDLER_H
#define SISKINSTAGE_NODE_CALLERS_CONNECTION_HANDLER_H

#include "siskinstage/units.h"

#include <functional>
#include <memory>

namespace siskinstage {

class ActiveRequest;
class TcpConnection;

/// One call of ConnectionHandler::serve.
struct ServeTurn {
  /// No other thread waits for events if it is false, so that the call must not
  /// block at all.
  bool MayBlock = true;
  /// Lets the server resume the request. Any thread may call it, also before
  /// serve() has returned or after the request has ended.
  std::function<void()> Resume;
  /// The request, set by serve() if it is suspended.
  std::shared_ptr<ActiveRequest> Started;
};

/// Serves the connections of one port. Several threads call it concurrently.
class ConnectionHandler {
public:
  virtual ~ConnectionHandler() = default;

  /// The state of a connection after it was served.
  enum class Next {
    Close,
    Idle,        ///< Waits for the next message.
    Incomplete,  ///< Waits for the rest of a partially received message.
    Suspended,   ///< The request waits for ServeTurn::Resume.
    NeedsInput,  ///< It waits for that or for more input.
    NeedsThread, ///< It waits for that or for a thread that may block.
  };

  /// Serves the input of a connection. It must not block while it reads the
  /// head of a message; it may block after the head is complete if the turn
  /// allows that. A request that waits is suspended: the server is then also to
  /// resume it when the peer has closed the connection.
  virtual Next serve(TcpConnection &Peer, ServeTurn &Turn) = 0;
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
