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

/// A running node and its threads.
class Node {
public:
  /// Opens the ports and starts the threads.
  /// \returns an error if a port can't be opened or a setting is invalid.
  static Result<std::unique_ptr<Node>> start(const Settings &NodeSettings,
                                             const NodeAdapter &Adapter = {});
  /// Stops and joins the threads.
  ~Node();

  /// Lets the adapter reload its settings.
  void reload();
  /// Drains the node: announces that it leaves, closes callers' connections
  /// after their next response, and returns once no request is in flight or the
  /// shutdown limit has passed. Requests that are open shortly before get a
  /// refusal; see DrainSchedule::LastAnswer.
  void shutDown();

private:
  std::unique_ptr<NodeContext> Context;
  std::unique_ptr<GossipLoop> Gossip;
  std::unique_ptr<ConnectionServer> CallerServer;
  /// Serves other nodes, operators and the platform. It has its own threads, so
  /// that callers can't exhaust them.
  std::unique_ptr<ConnectionServer> ControlServer;
  std::vector<std::thread> Threads;

  std::function<Result<void>(NodeContext &)> Reload;

  Node();
  Result<void> openPorts(const NodeAdapter &Adapter);
  void startThreads(std::uint64_t Seed, const NodeAdapter &Adapter);
  /// Closes expired connections until no request or connection is open, at most
  /// until \p Limit.
  void finishRequests(Instant Limit);
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_NODE_H
