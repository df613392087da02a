#ifndef SISKINSTAGE_NODE_NODE_H
#define SISKINSTAGE_NODE_NODE_H

#include "node/node_adapter.h"
#include "node/settings.h"
#include "siskinstage/error.h"

#include <memory>
#include <thread>
#include <vector>

namespace siskinstage {

struct NodeContext;
class ConnectionServer;
class GossipLoop;

/// One running node with its threads.
class Node {
public:
  static Result<std::unique_ptr<Node>> start(const Settings &Set,
                                             const NodeAdapter &Adapter = {});
  ~Node();

  /// Has the adapter read its settings anew.
  void reload();
  /// Lets go: tells callers to leave, finishes what is in flight, ends.
  void shutDown();

private:
  std::unique_ptr<NodeContext> Context;
  std::unique_ptr<GossipLoop> Gossip;
  std::unique_ptr<ConnectionServer> Callers;
  /// Other nodes, operators and the platform: callers can't crowd them out.
  std::unique_ptr<ConnectionServer> Control;
  std::vector<std::thread> Threads;

  std::function<Result<void>(NodeContext &)> Reload;

  Node();
  Result<void> openPorts(const NodeAdapter &Adapter);
  void startThreads(std::uint64_t Seed, const NodeAdapter &Adapter);
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_NODE_H
