#include "node/node.h"
#include "core/address.h"
#include "net/boot_time.h"
#include "node/caller_server.h"
#include "node/decision_loop.h"
#include "node/gossip_loop.h"
#include "node/node_context.h"
#include "node/operator_server.h"
#include "node/peer_sync.h"
#include "node/platform_client.h"
#include "node/prober.h"
#include "node/snapshot.h"
#include "siskinstage/config.h"

#include <random>

namespace siskinstage {

namespace {

std::uint64_t drawNumber() {
  std::random_device Device;
  return (static_cast<std::uint64_t>(Device()) << 32U) | Device();
}

} // namespace

Result<std::unique_ptr<Node>> Node::start(const Settings &Set,
                                          const NodeAdapter &Adapter) {
  std::unique_ptr<Node> New(new Node);
  const auto Own = parseAddress(Set.FleetAddress.str());
  if (!Own)
    return fail(Step::Settings, "fleet address", "no IPv4 address and port");
  const Incarnation Process{drawNumber()};
  New->Context = std::make_unique<NodeContext>(
      Set, *Own, Process, std::make_shared<const Snapshot>());
  auto Operators = OperatorServer::start(*New->Context);
  if (!Operators)
    return tl::unexpected<Error>(Operators.error());
  New->Operators = std::move(*Operators);
  auto Gossip = GossipLoop::start(*New->Context, Process.Value);
  if (!Gossip)
    return tl::unexpected<Error>(Gossip.error());
  New->Gossip = std::move(*Gossip);
  auto Callers = CallerServer::start(*New->Context, Set.Listen);
  if (!Callers)
    return tl::unexpected<Error>(Callers.error());
  New->Callers = std::move(*Callers);
  if (Set.FleetListen != Set.Listen) {
    auto Peers = CallerServer::start(*New->Context, Set.FleetListen);
    if (!Peers)
      return tl::unexpected<Error>(Peers.error());
    New->Peers = std::move(*Peers);
  }
  if (Adapter.StartListeners) {
    auto Listeners = Adapter.StartListeners(*New->Context);
    if (!Listeners)
      return tl::unexpected<Error>(Listeners.error());
    New->Listeners = std::move(*Listeners);
  }
  New->Reload = Adapter.Reload;
  New->startThreads(Process.Value, Adapter);
  logEvent(LogLevel::Info, "node " + Set.Id.str() + " has started",
           {{"listen", Set.Listen.str()},
            {"operators", Set.OperatorListen.str()},
            {"incarnation", std::to_string(Process.Value)}});
  return New;
}

void Node::startThreads(std::uint64_t Seed, const NodeAdapter &Adapter) {
  NodeContext &Shared = *this->Context;
  this->Threads.emplace_back([&Shared] { DecisionLoop(Shared).run(); });
  this->Threads.emplace_back([this] { this->Gossip->run(); });
  this->Threads.emplace_back([&Shared] { PeerSync(Shared).run(); });
  if (Adapter.ReadConfiguration) {
    this->Threads.emplace_back(
        [&Shared, Read = Adapter.ReadConfiguration] { Read(Shared); });
  } else {
    this->Threads.emplace_back(
        [&Shared, Seed] { PlatformClient(Shared, Seed).watchRecords(); });
    this->Threads.emplace_back(
        [&Shared, Seed] { PlatformClient(Shared, Seed).readInstances(); });
  }
  if (Shared.Set.ProbePeriod > Millis::zero())
    this->Threads.emplace_back([&Shared, Seed] { Prober(Shared, Seed).run(); });
}

void Node::reload() {
  if (!this->Reload) {
    logEvent(LogLevel::Info, "SIGHUP: this node reads no settings but flags");
    return;
  }
  const auto Read = this->Reload(*this->Context);
  if (Read)
    logEvent(LogLevel::Info, "the settings are read anew");
  else
    logError(LogLevel::Error, "the settings are refused, the old ones stay",
             Read.error());
}

void Node::shutDown() {
  NodeContext &Shared = *this->Context;
  Shared.Draining.store(true);
  logEvent(LogLevel::Info, "the node is draining");
  // The members and callers that ask now hear of it; callers that come later
  // are refused a connection, which tells them that nothing was run.
  const Instant Limit = bootNow() + Shared.Set.ShutdownLimit;
  Shared.Stop.sleep(Shared.Set.AcceptLinger);
  this->Callers->stopAccepting();
  while (Shared.CallerConnections.load() > 0 && bootNow() < Limit)
    Shared.Stop.sleep(config::DecisionPeriod);
  while (Shared.RequestsInFlight.load() > 0 && bootNow() < Limit)
    Shared.Stop.sleep(config::DecisionPeriod);
  logEvent(LogLevel::Info, "the node has drained",
           {{"requests_cut", std::to_string(Shared.RequestsInFlight.load())}});
}

Node::~Node() {
  if (!this->Context)
    return;
  this->Context->Stop.stop();
  for (std::thread &Each : this->Threads)
    Each.join();
  if (this->Operators)
    this->Operators->stop();
}

} // namespace siskinstage
