#include "node/node.h"
#include "core/address.h"
#include "net/boot_time.h"
#include "node/caller_port.h"
#include "node/connection_server.h"
#include "node/decision_loop.h"
#include "node/gossip_loop.h"
#include "node/node_context.h"
#include "node/operator_pages.h"
#include "node/page_port.h"
#include "node/peer_sync.h"
#include "node/platform_client.h"
#include "node/prober.h"
#include "node/snapshot.h"
#include "siskinstage/config.h"

#include <functional>
#include <pthread.h>
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
  auto Gossip = GossipLoop::start(*New->Context, Process.Value);
  if (!Gossip)
    return tl::unexpected<Error>(Gossip.error());
  New->Gossip = std::move(*Gossip);
  const auto Opened = New->openPorts(Adapter);
  if (!Opened)
    return tl::unexpected<Error>(Opened.error());
  New->Reload = Adapter.Reload;
  New->startThreads(Process.Value, Adapter);
  logEvent(LogLevel::Info, "node " + Set.Id.str() + " has started",
           {{"listen", Set.Listen.str()},
            {"operators", Set.OperatorListen.str()},
            {"incarnation", std::to_string(Process.Value)}});
  return New;
}

Result<void> Node::openPorts(const NodeAdapter &Adapter) {
  NodeContext &Shared = *this->Context;
  const auto Most =
      static_cast<std::size_t>(Shared.NodeSettings.MaxConnections);
  auto Control = ConnectionServer::start(
      {config::MaxControlConnections, config::MaxControlThreads},
      Shared.ControlConnections);
  if (!Control)
    return tl::unexpected<Error>(Control.error());
  this->Control = std::move(*Control);
  auto Callers = ConnectionServer::start({Most, config::MaxCallerThreads},
                                         Shared.CallerConnections);
  if (!Callers)
    return tl::unexpected<Error>(Callers.error());
  this->Callers = std::move(*Callers);

  const auto Requests = std::make_shared<CallerPort>(Shared);
  std::vector<NodePort> Others;
  if (Adapter.Ports)
    Others = Adapter.Ports(Shared);
  Others.push_back({Shared.NodeSettings.OperatorListen,
                    std::make_shared<PagePort>([&Shared](const std::string &U) {
                      return operatorPage(Shared, U);
                    })});
  if (Shared.NodeSettings.FleetListen != Shared.NodeSettings.Listen)
    Others.push_back({Shared.NodeSettings.FleetListen, Requests});
  for (const NodePort &Each : Others) {
    const auto Opened = this->Control->listen(Each.ListenAddress, Each.Handler);
    if (!Opened)
      return Opened;
  }
  return this->Callers->listen(Shared.NodeSettings.Listen, Requests);
}

void Node::startThreads(std::uint64_t Seed, const NodeAdapter &Adapter) {
  NodeContext &Shared = *this->Context;
  const auto Start = [this](const char *Duty, std::function<void()> Run) {
    this->Threads.emplace_back(std::move(Run));
    // Shown by the system's tools; at most 15 characters.
    pthread_setname_np(this->Threads.back().native_handle(), Duty);
  };
  Start("decisions", [&Shared] { DecisionLoop(Shared).run(); });
  Start("gossip", [this] { this->Gossip->run(); });
  Start("peer-sync", [&Shared] { PeerSync(Shared).run(); });
  if (Adapter.ReadConfiguration) {
    Start("configuration",
          [&Shared, Read = Adapter.ReadConfiguration] { Read(Shared); });
  } else {
    Start("configuration",
          [&Shared, Seed] { PlatformClient(Shared, Seed).watchRecords(); });
    Start("instances",
          [&Shared, Seed] { PlatformClient(Shared, Seed).readInstances(); });
  }
  if (Shared.NodeSettings.ProbePeriod > Millis::zero())
    Start("probes", [&Shared, Seed] { Prober(Shared, Seed).run(); });
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
  this->Callers->drain();
  // The members and callers that ask now hear of it; callers that come later
  // are refused a connection, which tells them that nothing was run.
  const Instant Limit = bootNow() + Shared.NodeSettings.ShutdownLimit;
  Shared.Stop.sleep(Shared.NodeSettings.AcceptLinger);
  this->Callers->stopAccepting();
  while (Shared.CallerConnections.Open.load() > 0 && bootNow() < Limit) {
    this->Callers->closeIdle();
    Shared.Stop.sleep(config::DecisionPeriod);
  }
  while (Shared.RequestsInFlight.load() > 0 && bootNow() < Limit)
    Shared.Stop.sleep(config::DecisionPeriod);
  logEvent(LogLevel::Info, "the node has drained",
           {{"requests_cut", std::to_string(Shared.RequestsInFlight.load())}});
}

Node::Node() = default;

Node::~Node() {
  if (!this->Context)
    return;
  this->Context->Stop.stop();
  for (std::thread &Each : this->Threads)
    Each.join();
}

} // namespace siskinstage
