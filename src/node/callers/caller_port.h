#ifndef SISKINSTAGE_NODE_CALLERS_CALLER_PORT_H
#define SISKINSTAGE_NODE_CALLERS_CALLER_PORT_H

#include "net/http_io.h"
#include "node/callers/connection_handler.h"

namespace siskinstage {

struct NodeContext;

/// Handles the port for callers and other nodes: reads the requests of a
/// connection, one after another, and responds to them.
class CallerPort : public ConnectionHandler {
public:
  explicit CallerPort(NodeContext &Context) : Context(Context) {}

  Next serve(TcpConnection &Caller, ServeTurn &Turn) override;
  void closeOverdue(TcpConnection &Caller) override;
  [[nodiscard]] Duration headTimeout() const override;
  [[nodiscard]] Duration idleTimeout(bool Draining) const override;

private:
  NodeContext &Context;

  Next serveHead(TcpConnection &Caller, const std::string &RawHead,
                 ServeTurn &Turn);
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_CALLERS_CALLER_PORT_H
