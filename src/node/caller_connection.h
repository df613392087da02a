#ifndef SISKINSTAGE_NODE_CALLER_CONNECTION_H
#define SISKINSTAGE_NODE_CALLER_CONNECTION_H

#include "net/http_io.h"
#include "net/wire.h"

#include <Poco/Net/TCPServerConnection.h>

namespace siskinstage {

struct NodeContext;

/// One connection of a caller: its requests, one after another.
class CallerConnection : public Poco::Net::TCPServerConnection {
public:
  CallerConnection(const Poco::Net::StreamSocket &Socket, NodeContext &Context);

  void run() override;

private:
  NodeContext &Context;

  /// Serves one request. \returns whether the connection goes on.
  bool serveNext(Wire &Caller);
  ReadResult<std::string> awaitHead(Wire &Caller);
  bool serveHead(Wire &Caller, const std::string &Lines);
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_CALLER_CONNECTION_H
