#ifndef SISKINSTAGE_NODE_OPERATOR_SERVER_H
#define SISKINSTAGE_NODE_OPERATOR_SERVER_H

#include "siskinstage/error.h"

#include <Poco/Net/HTTPServer.h>
#include <memory>

namespace siskinstage {

struct NodeContext;

/// The operators' port: /healthz, /readyz, /metrics and /state.
class OperatorServer {
public:
  static Result<std::unique_ptr<OperatorServer>> start(NodeContext &Context);
  void stop();

private:
  std::unique_ptr<Poco::Net::HTTPServer> Server;
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_OPERATOR_SERVER_H
