#ifndef SISKINSTAGE_NODE_CONNECTION_HANDLER_H
#define SISKINSTAGE_NODE_CONNECTION_HANDLER_H

#include "siskinstage/units.h"

namespace siskinstage {

class Wire;

/// What one port does with its connections. Several threads call it at once.
class ConnectionHandler {
public:
  virtual ~ConnectionHandler() = default;

  /// Serves what came in on a connection, blocking.
  /// \returns whether the connection stays open for more.
  virtual bool serve(Wire &Peer) = 0;
  /// How long a connection may stay open without a byte.
  /// \param Draining the process is about to end.
  [[nodiscard]] virtual Duration idleLimit(bool Draining) const = 0;
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_CONNECTION_HANDLER_H
