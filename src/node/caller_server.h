#ifndef SISKINSTAGE_NODE_CALLER_SERVER_H
#define SISKINSTAGE_NODE_CALLER_SERVER_H

#include "siskinstage/error.h"
#include "siskinstage/strong_id.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/ThreadPool.h>
#include <memory>

namespace siskinstage {

struct NodeContext;

/// The callers' port: a thread of POCO's server pool for each connection.
class CallerServer {
public:
  /// \param Where the address and port to listen on.
  static Result<std::unique_ptr<CallerServer>> start(NodeContext &Context,
                                                     const Address &Where);

  /// Takes no new connections; open ones go on, and so do those that were
  /// connected but not yet accepted.
  void stopAccepting();

private:
  Poco::ThreadPool Pool;
  NodeContext &Context;
  Poco::Net::ServerSocket Socket;
  std::unique_ptr<Poco::Net::TCPServer> Server;

  explicit CallerServer(NodeContext &Context);
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_CALLER_SERVER_H
