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
class CallerServer;
class GossipLoop;
class OperatorServer;

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
  std::unique_ptr<CallerServer> Callers;
  std::unique_ptr<CallerServer> Peers; ///< Null if the callers' port serves.
  std::unique_ptr<OperatorServer> Operators;
  std::shared_ptr<void> Listeners; ///< The adapter's.
  std::vector<std::thread> Threads;

  std::function<Result<void>(NodeContext &)> Reload;

  Node() = default;
  void startThreads(std::uint64_t Seed, const NodeAdapter &Adapter);
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_NODE_H
