#include "node/node.h"
#include "core/address.h"
#include "net/boot_time.h"
#include "node/callers/caller_port.h"
#include "node/callers/connection_server.h"
#include "node/callers/page_port.h"
#include "node/decision_loop.h"
#include "node/fleet/gossip_loop.h"
#include "node/node_context.h"
#include "node/operators/operator_pages.h"
#include "node/records/peer_sync.h"
#include "node/records/platform_client.h"
#include "node/snapshot.h"
#include "node/targets/prober.h"
#include "siskinstage/config.h"

#include <algorithm>
#include <functional>
#include <pthread.h>
#include <random>

namespace siskinstage {

namespace {

std::uint64_t randomNumber() {
  std::random_device Device;
  return (static_cast<std::uint64_t>(Device()) << 32U) | Device();
}

} // namespace

Result<std::unique_ptr<Node>> Node::start(const Settings &NodeSettings,
                                          const NodeAdapter &Adapter) {
  std::unique_ptr<Node> New(new Node);
  const auto Own = parseAddress(NodeSettings.FleetAddress.str());
  if (!Own)
    return fail(Step::Settings, "fleet address",
                "allowed is an IPv4 address and port");
  const Incarnation Process{randomNumber()};
  New->Context = std::make_unique<NodeContext>(
      NodeSettings, *Own, Process, std::make_shared<const Snapshot>());
  auto Timers = TimerQueue::create();
  if (!Timers)
    return tl::unexpected<Error>(Timers.error());
  New->Context->Timers = std::move(*Timers);
  auto Gossip = GossipLoop::start(*New->Context, Process.Value);
  if (!Gossip)
    return tl::unexpected<Error>(Gossip.error());
  New->Gossip = std::move(*Gossip);
  const auto Opened = New->openPorts(Adapter);
  if (!Opened)
    return tl::unexpected<Error>(Opened.error());
  New->Reload = Adapter.Reload;
  New->startThreads(Process.Value, Adapter);
  logEvent(LogLevel::Info, "node " + NodeSettings.Id.str() + " started",
           {{"listen", NodeSettings.Listen.str()},
            {"operators", NodeSettings.OperatorListen.str()},
            {"incarnation", std::to_string(Process.Value)}});
  return New;
}

Result<void> Node::openPorts(const NodeAdapter &Adapter) {
  NodeContext &Shared = *this->Context;
  const auto MaxCallers =
      static_cast<std::size_t>(Shared.NodeSettings.MaxConnections);
  auto Control = ConnectionServer::start(
      {config::MaxControlConnections, config::MaxControlThreads},
      Shared.ControlConnections);
  if (!Control)
    return tl::unexpected<Error>(Control.error());
  this->ControlServer = std::move(*Control);
  auto Callers =
      ConnectionServer::start({MaxCallers, Shared.NodeSettings.CallerThreads},
                              Shared.CallerConnections, Shared.Timers.get());
  if (!Callers)
    return tl::unexpected<Error>(Callers.error());
  this->CallerServer = std::move(*Callers);

  const auto RequestHandler = std::make_shared<CallerPort>(Shared);
  std::vector<NodePort> ControlPorts;
  if (Adapter.Ports)
    ControlPorts = Adapter.Ports(Shared);
  ControlPorts.push_back(
      {Shared.NodeSettings.OperatorListen,
       std::make_shared<PagePort>([&Shared](const std::string &Uri) {
         return operatorPage(Shared, Uri);
       })});
  if (Shared.NodeSettings.FleetListen != Shared.NodeSettings.Listen)
    ControlPorts.push_back({Shared.NodeSettings.FleetListen, RequestHandler});
  for (const NodePort &Port : ControlPorts) {
    const auto Opened =
        this->ControlServer->listen(Port.ListenAddress, Port.Handler);
    if (!Opened)
      return Opened;
  }
  return this->CallerServer->listen(Shared.NodeSettings.Listen, RequestHandler);
}

void Node::startThreads(std::uint64_t Seed, const NodeAdapter &Adapter) {
  NodeContext &Shared = *this->Context;
  const auto Start = [this](const char *Name, std::function<void()> Run) {
    this->Threads.emplace_back(std::move(Run));
    // Linux limits thread names to 15 characters.
    pthread_setname_np(this->Threads.back().native_handle(), Name);
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
    logEvent(LogLevel::Info,
             "SIGHUP ignored: this node has no settings to reload");
    return;
  }
  const auto Reloaded = this->Reload(*this->Context);
  if (Reloaded)
    logEvent(LogLevel::Info, "settings reloaded");
  else
    logError(LogLevel::Error,
             "new settings rejected, keeping the previous ones",
             Reloaded.error());
}

void Node::shutDown() {
  NodeContext &Shared = *this->Context;
  const Instant Start = bootNow();
  Shared.Drain.begin(Start, Shared.NodeSettings.ShutdownLimit);
  const DrainSchedule &Plan = Shared.Drain.schedule();
  logEvent(LogLevel::Info, "node is draining");
  this->CallerServer->drain();
  this->CallerServer->resumeRequests();
  this->ControlServer->resumeRequests();
  // Connections are accepted a little longer, while members and callers learn
  // that this node leaves. After that, connections are refused, from which
  // callers know that their request was not executed.
  Shared.Stop.sleep(Shared.NodeSettings.AcceptLinger);
  this->CallerServer->stopAccepting();
  this->finishRequests(Plan.LastAnswer);
  Shared.Requests.log("is unfinished");
  Shared.Drain.endWaits();
  this->finishRequests(Plan.Exit);
  Shared.Requests.log("is cut by the exit");
  if (Shared.CallerConnections.Open.load() > 0)
    this->CallerServer->logOpen();
  logEvent(LogLevel::Info, "node drained",
           {{"requests_cut", std::to_string(Shared.Requests.count())}});
}

void Node::finishRequests(Instant Limit) {
  NodeContext &Shared = *this->Context;
  while (Shared.CallerConnections.Open.load() > 0 ||
         Shared.Requests.count() > 0) {
    const Duration Left = timeLeft(Limit);
    if (Left == Duration::zero())
      return;
    this->CallerServer->closeExpired();
    Shared.Stop.sleep(std::min<Duration>(config::DecisionPeriod, Left));
  }
}

Node::Node() = default;

Node::~Node() {
  if (!this->Context)
    return;
  this->Context->Stop.stop();
  for (std::thread &Thread : this->Threads)
    Thread.join();
}

} // namespace siskinstage
