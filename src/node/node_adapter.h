#ifndef SISKINSTAGE_NODE_NODE_ADAPTER_H
#define SISKINSTAGE_NODE_NODE_ADAPTER_H

#include "siskinstage/error.h"
#include "siskinstage/strong_id.h"

#include <functional>
#include <memory>
#include <vector>

namespace siskinstage {

struct NodeContext;
class ConnectionHandler;

/// A listening address and the handler of its connections.
struct NodePort {
  Address ListenAddress;
  std::shared_ptr<ConnectionHandler> Handler;
};

/// Functions by which an adapter to another platform replaces or extends parts
/// of the node.
struct NodeAdapter {
  /// Reads the configuration until the node stops. If empty, the node reads the
  /// configuration service at Settings::Platform.
  std::function<void(NodeContext &)> ReadConfiguration;
  /// Reloads the settings after SIGHUP; empty if there are none to reload.
  /// \returns an error if they are invalid; the previous ones then stay in
  /// effect.
  std::function<Result<void>(NodeContext &)> Reload;
  /// Returns additional ports for the node to open.
  std::function<std::vector<NodePort>(const NodeContext &)> Ports;
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_NODE_ADAPTER_H
