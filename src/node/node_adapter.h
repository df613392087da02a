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

/// A port and what serves it.
struct NodePort {
  Address ListenAddress;
  std::shared_ptr<ConnectionHandler> Handler;
};

/// What the adapter to a platform puts in place of the node's own parts.
struct NodeAdapter {
  /// Reads the configuration until the node stops; if empty, the node reads
  /// the project's own configuration service.
  std::function<void(NodeContext &)> ReadConfiguration;
  /// Reads the settings anew after SIGHUP; empty if there are none to read.
  /// \returns what is wrong with them, in which case the old ones stay.
  std::function<Result<void>(NodeContext &)> Reload;
  /// Further ports that the node opens.
  std::function<std::vector<NodePort>(const NodeContext &)> Ports;
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_NODE_ADAPTER_H
