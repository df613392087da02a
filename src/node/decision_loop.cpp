#include "node/decision_loop.h"
#include "net/boot_time.h"
#include "node/node_context.h"
#include "node/targets/service_gate.h"
#include "node/targets/target_gauge.h"
#include "siskinstage/config.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace siskinstage {

namespace {

/// Relative change of the usual latency up to which no new snapshot is
/// published.
constexpr double LatencyChangeThreshold = 0.2;

bool changedNotably(Duration Old, Duration New) {
  const auto Before = static_cast<double>(Old.count());
  const auto After = static_cast<double>(New.count());
  return std::abs(After - Before) >
         LatencyChangeThreshold * std::max(Before, 1.0);
}

bool sameNodes(const std::vector<SteeringNode> &Left,
               const std::vector<SteeringNode> &Right) {
  return std::equal(Left.begin(), Left.end(), Right.begin(), Right.end(),
                    [](const SteeringNode &L, const SteeringNode &R) {
                      return L.Endpoint == R.Endpoint;
                    });
}

bool isHealthy(const TargetVerdict &Verdict) {
  return Verdict.State == TargetHealth::State::Healthy;
}

} // namespace

DecisionLoop::DecisionLoop(NodeContext &Context)
    : Context(Context), Started(bootNow()),
      NextSnapshot(*Context.Snapshots.get()) {}

const RecordStore &DecisionLoop::records() const {
  return this->Context.Records.unlocked();
}

void DecisionLoop::run() {
  while (!this->Context.Stop.stopped()) {
    this->Context.DecisionWakeup.wait(this->waitLimit());
    this->processUpdates();
    this->processObservations();
    this->decideAll(bootNow());
    this->updateReadiness(bootNow());
    if (this->SnapshotChanged)
      this->publish();
    this->Context.Stop.sleep(config::DecisionBatchInterval);
  }
}

Duration DecisionLoop::waitLimit() const {
  const bool EvaluationPending = std::any_of(
      this->Services.begin(), this->Services.end(),
      [](const auto &Entry) { return Entry.second.NeedsEvaluation; });
  return EvaluationPending || !this->NextSnapshot.Configured
             ? config::DecisionPeriod
             : config::DecisionIdleInterval;
}

void DecisionLoop::processObservations() {
  while (const auto Sample = this->Context.Observations.pop()) {
    const auto Found = this->Services.find(Sample->Service);
    if (Found == this->Services.end())
      continue;
    Found->second.Health.observe(*Sample);
    Found->second.NeedsEvaluation = true;
  }
}

void DecisionLoop::processUpdates() {
  while (auto Update = this->Context.Updates.pop())
    std::visit([this](auto &Message) { this->apply(Message); }, *Update);
}

void DecisionLoop::apply(RecordBatch &Batch) {
  for (const Record &New : Batch.Records) {
    const Record *Current = this->records().find(New.Key);
    const auto Old =
        Current == nullptr ? std::nullopt : std::optional<Record>(*Current);
    if (this->Context.Records.adopt(New) != RecordStore::Adoption::Adopted)
      continue;
    this->SnapshotChanged = true;
    if (Old)
      this->removeRecord(*Old);
    this->applyRecord(New);
    logEvent(LogLevel::Info, "record " + New.Key.text() + " applied",
             {{"revision", std::to_string(New.Rev.Value)}});
    this->broadcastRecord(New, Batch.SourceDomain);
  }
  for (const ServiceName &Name : std::exchange(this->StaleServices, {}))
    this->assembleService(Name);
  this->PlatformRead = this->PlatformRead || Batch.PlatformComplete;
  this->PlatformCurrent = this->PlatformCurrent || Batch.PlatformCurrent;
  if (!Batch.ComparedDomain.empty())
    this->ComparedDomains.insert(Batch.ComparedDomain);
}

void DecisionLoop::broadcastRecord(const Record &New,
                                   const FailureDomain &From) {
  // Not broadcast during startup: each node that starts reads all records.
  if (!this->NextSnapshot.Configured)
    return;
  RecordSource Source = RecordSource::Platform;
  if (!From.empty())
    Source = From == this->Context.NodeSettings.Domain
                 ? RecordSource::OwnDomain
                 : RecordSource::OtherDomain;
  RecordUpdate Update = {New.Key, New.Rev, ""};
  if (New.Text && New.Text->size() <= config::MaxInlineRecordBytes)
    Update.Text = *New.Text;
  // If the ring is full, peers find the record by comparing digests.
  this->Context.postCommand(BroadcastRecord{std::move(Update), Source});
}

ReadinessFacts DecisionLoop::readinessFacts(Instant Now) const {
  const Settings &Values = this->Context.NodeSettings;
  ReadinessFacts Known;
  Known.ConfigurationKnown =
      Values.RequiredRecord
          ? this->records().find(*Values.RequiredRecord) != nullptr
          : !this->records().all().empty();
  Known.PlatformRead = this->PlatformRead;
  Known.PlatformCurrent = this->PlatformCurrent;
  Known.DomainsCompared = this->ComparedDomains.size();
  Known.InstanceListRead = this->InstanceListRead;
  Known.DomainsListed = this->ListedNodeDomains.size();
  Known.WaitedOut = Now - this->Started >= Values.ReadyWait;
  return Known;
}

void DecisionLoop::updateReadiness(Instant Now) {
  if (this->NextSnapshot.Configured)
    return;
  const ReadinessFacts Known = this->readinessFacts(Now);
  if (hasPlatformRecords(Known) && !this->NextSnapshot.HasPlatformRecords) {
    this->NextSnapshot.HasPlatformRecords = true;
    this->SnapshotChanged = true;
  }
  if (!mayServeCallers(Known))
    return;
  this->NextSnapshot.HasPlatformRecords = true;
  this->NextSnapshot.Configured = true;
  this->SnapshotChanged = true;
  logEvent(LogLevel::Info, "node is ready to serve callers",
           {{"domains_compared", std::to_string(Known.DomainsCompared)},
            {"platform_read", Known.PlatformRead ? "yes" : "no"},
            {"waited_out", Known.WaitedOut ? "yes" : "no"}});
}

void DecisionLoop::removeRecord(const Record &Old) {
  if (const auto *Route = std::get_if<RouteRecord>(&Old.Body)) {
    this->NextSnapshot.Routes.remove(*Route);
  } else if (const auto *Target = std::get_if<TargetRecord>(&Old.Body)) {
    this->TargetSpecs[Target->Service].erase(Target->Spec.Id);
    this->StaleServices.insert(Target->Service);
  } else if (const auto *Bundle = std::get_if<BundleRecord>(&Old.Body)) {
    this->NextSnapshot.AccountsByKey.reset();
    for (const RouteRecord &Route : Bundle->Routes)
      this->NextSnapshot.Routes.remove(Route);
  }
}

void DecisionLoop::applyRecord(const Record &New) {
  const auto Deleted = std::holds_alternative<Tombstone>(New.Body);
  if (const auto *Fleet = std::get_if<FleetRecord>(&New.Body)) {
    this->NextSnapshot.Fleet = *Fleet;
    this->configureGates();
  } else if (const auto *Route = std::get_if<RouteRecord>(&New.Body)) {
    this->NextSnapshot.Routes.add(*Route);
    this->configureGates();
  } else if (const auto *Account = std::get_if<AccountRecord>(&New.Body)) {
    this->NextSnapshot.AccountRecords.set(Account->Name, *Account);
  } else if (const auto *Service = std::get_if<ServiceRecord>(&New.Body)) {
    this->applyService(*Service);
  } else if (const auto *Target = std::get_if<TargetRecord>(&New.Body)) {
    this->applyTarget(*Target);
  } else if (const auto *Bundle = std::get_if<BundleRecord>(&New.Body)) {
    this->applyBundle(*Bundle);
  } else if (Deleted && New.Key.Kind == RecordKind::Account) {
    this->NextSnapshot.AccountRecords.erase(AccountName(New.Key.Name));
  } else if (Deleted && New.Key.Kind == RecordKind::Service) {
    this->removeService(ServiceName(New.Key.Name));
  }
}

void DecisionLoop::removeService(const ServiceName &Name) {
  this->ServiceRecords.erase(Name);
  this->Services.erase(Name);
  this->NextSnapshot.ServiceViews.erase(Name);
}

void DecisionLoop::applyTarget(const TargetRecord &New) {
  this->TargetSpecs[New.Service][New.Spec.Id] = New.Spec;
  this->StaleServices.insert(New.Service);
}

void DecisionLoop::applyBundle(const BundleRecord &New) {
  this->NextSnapshot.AccountsByKey = New.Accounts;
  for (const RouteRecord &Route : New.Routes)
    this->NextSnapshot.Routes.add(Route);
  std::set<ServiceName> InBundle;
  for (const ServiceRecord &Service : New.Services) {
    InBundle.insert(Service.Name);
    this->applyService(Service);
  }
  std::vector<ServiceName> Removed;
  for (const auto &[Name, Service] : this->ServiceRecords)
    if (InBundle.count(Name) == 0 &&
        this->records().find({RecordKind::Service, Name.str()}) == nullptr)
      Removed.push_back(Name);
  for (const ServiceName &Name : Removed)
    this->removeService(Name);
  this->configureGates();
}

void DecisionLoop::applyService(const ServiceRecord &New) {
  this->ServiceRecords[New.Name] = New;
  this->assembleService(New.Name);
}

void DecisionLoop::assembleService(const ServiceName &Name) {
  const auto Base = this->ServiceRecords.find(Name);
  if (Base == this->ServiceRecords.end())
    return;
  ServiceState &State =
      this->Services
          .try_emplace(Name,
                       ServiceState{this->Context.NodeSettings.Domain,
                                    this->Context.NodeSettings.DetectorMode})
          .first->second;
  State.Record = Base->second;
  for (const auto &[Id, Spec] : this->TargetSpecs[Name])
    State.Record.Targets.push_back(Spec);
  if (!State.Gate)
    State.Gate =
        std::make_shared<ServiceGate>(Name, this->Context.Keys.process().Value);
  State.Gate->configure(State.Record.Policy, this->nodeRetryShare());
  State.Health.configure(State.Record, bootNow());
  State.Health.setListedLeaving(this->LeavingTargets);
  this->setServingNodes(State, this->servingNodes(Name));
  State.Verdicts.clear();
  State.NeedsEvaluation = true;
}

void DecisionLoop::apply(InstanceBatch &Batch) {
  std::set<Address> Leaving;
  SetSeeds Seeds;
  this->InstanceListRead = true;
  this->ListedNodeDomains.clear();
  for (const Instance &Listed : Batch.Instances) {
    if (Listed.InstanceRole == Instance::Role::Target &&
        Listed.InstanceState == Instance::State::Leaving)
      Leaving.insert(Listed.Endpoint);
    if (Listed.InstanceRole != Instance::Role::Node ||
        Listed.InstanceState != Instance::State::Live ||
        Listed.Endpoint == this->Context.NodeSettings.FleetAddress)
      continue;
    Seeds.Seeds.push_back(Listed.Endpoint);
    this->ListedNodeDomains.insert(Listed.Domain);
  }
  const std::vector<Address> &ConfiguredSeeds =
      this->Context.NodeSettings.Seeds;
  Seeds.Seeds.insert(Seeds.Seeds.end(), ConfiguredSeeds.begin(),
                     ConfiguredSeeds.end());
  this->Context.postCommand(std::move(Seeds));
  if (Leaving != this->LeavingTargets) {
    this->LeavingTargets = std::move(Leaving);
    for (auto &[Name, Service] : this->Services) {
      Service.Health.setListedLeaving(this->LeavingTargets);
      Service.NeedsEvaluation = true;
    }
  }
}

void DecisionLoop::apply(MemberBatch &Batch) {
  std::vector<SteeringNode> Live;
  for (const Member &Node : Batch.Live)
    Live.push_back({Node.Id, Node.Endpoint, Node.Domain, Node.Capacity,
                    Node.PlatformUnreachable});
  std::sort(Live.begin(), Live.end(),
            [](const SteeringNode &Left, const SteeringNode &Right) {
              return Left.Endpoint < Right.Endpoint;
            });
  this->NextSnapshot.LiveNodes = std::move(Live);
  std::vector<SteeringNode> Candidates = this->NextSnapshot.LiveNodes;
  if (Batch.SelfWithdrawn && Candidates.size() > 1)
    std::erase_if(Candidates, [this](const SteeringNode &Node) {
      return Node.Endpoint == this->Context.NodeSettings.FleetAddress;
    });
  auto Entries =
      domainEntries(Candidates, this->Context.NodeSettings.EntriesPerDomain);
  this->logEntryChange(Entries);
  this->NextSnapshot.EntryNodes = std::move(Entries);
  for (auto &[Name, Service] : this->Services) {
    auto Serving = this->servingNodes(Name);
    if (Service.Group && sameNodes(Serving, Service.Group->Nodes))
      continue;
    this->setServingNodes(Service, std::move(Serving));
    if (!Service.Verdicts.empty())
      this->rebuildServiceView(Name, Service);
  }
  this->configureGates();
  this->SnapshotChanged = true;
}

void DecisionLoop::apply(ReceivedReport &Received) {
  const auto Found = this->Services.find(Received.Service);
  if (Found == this->Services.end())
    return;
  Found->second.Health.report(Received.Target, Received.Report);
  Found->second.NeedsEvaluation = true;
}

void DecisionLoop::logEntryChange(const std::vector<SteeringNode> &New) const {
  const FailureDomain &OwnDomain = this->Context.NodeSettings.Domain;
  const auto InOwnDomain = [&](std::vector<SteeringNode> Nodes) {
    std::erase_if(Nodes, [&](const SteeringNode &Node) {
      return Node.Domain != OwnDomain;
    });
    return Nodes;
  };
  const auto Chosen = InOwnDomain(New);
  if (this->Context.NodeSettings.EntriesPerDomain == 0 ||
      sameNodes(Chosen, InOwnDomain(this->NextSnapshot.EntryNodes)))
    return;
  std::string Names;
  std::uint32_t Capacity = 0;
  for (const SteeringNode &Node : Chosen) {
    Names += (Names.empty() ? "" : ",") + Node.Id.str();
    Capacity += Node.Capacity;
  }
  logEvent(LogLevel::Info, "entry nodes of this failure domain changed",
           {{"entries", Names},
            {"capacity", std::to_string(Capacity)},
            {"members_of_domain",
             std::to_string(InOwnDomain(this->NextSnapshot.LiveNodes).size())},
            {"members", std::to_string(this->NextSnapshot.LiveNodes.size())}});
}

RetryShare DecisionLoop::nodeRetryShare() const {
  FleetView View;
  View.Live = std::max<std::size_t>(this->NextSnapshot.LiveNodes.size(), 1);
  const std::size_t PerDomain = this->Context.NodeSettings.EntriesPerDomain;
  if (PerDomain > 0) {
    const auto &Entries = this->NextSnapshot.EntryNodes;
    View.Entries = Entries.size();
    View.IsEntry = std::any_of(
        Entries.begin(), Entries.end(), [this](const SteeringNode &Node) {
          return Node.Endpoint == this->Context.NodeSettings.FleetAddress;
        });
  }
  return retryShare(this->NextSnapshot.Fleet, View);
}

WaitQueue::OrderKind DecisionLoop::waitOrder() const {
  const Snapshot &Next = this->NextSnapshot;
  return Next.AccountsByKey || Next.Routes.prioritiesDiffer()
             ? WaitQueue::OrderKind::Worth
             : WaitQueue::OrderKind::Arrival;
}

void DecisionLoop::configureGates() {
  const auto Order = this->waitOrder();
  for (auto &[Name, Service] : this->Services) {
    Service.Gate->configure(Service.Record.Policy, this->nodeRetryShare());
    Service.Gate->setOrder(Order);
  }
}

std::vector<SteeringNode>
DecisionLoop::servingNodes(const ServiceName &Name) const {
  const ServiceRecord *Record = this->findServiceRecord(Name);
  if (Record == nullptr)
    return {};
  if (this->Context.NodeSettings.EntriesPerDomain > 0)
    return this->NextSnapshot.EntryNodes;
  const std::size_t Slots =
      Record->Targets.size() * Record->SlotsPerTarget.Value;
  return serviceGroup(
      this->NextSnapshot.LiveNodes, Name,
      groupNodesPerDomain(Slots, countDomains(this->NextSnapshot.LiveNodes)));
}

void DecisionLoop::setServingNodes(ServiceState &Service,
                                   std::vector<SteeringNode> Serving) const {
  const Address &Self = this->Context.NodeSettings.FleetAddress;
  std::vector<Address> Peers;
  for (const SteeringNode &Node : Serving)
    if (Node.Endpoint != Self)
      Peers.push_back(Node.Endpoint);
  Service.PeerNodes =
      std::make_shared<const std::vector<Address>>(std::move(Peers));
  Service.SendsTrialRequests =
      trialAssignments(Serving, Self, Service.Record.Targets);
  Service.Group = std::make_shared<const ServingGroup>(
      ServingGroup{std::move(Serving), Self});
}

const ServiceRecord *
DecisionLoop::findServiceRecord(const ServiceName &Name) const {
  const auto Found = this->Services.find(Name);
  return Found == this->Services.end() ? nullptr : &Found->second.Record;
}

void DecisionLoop::decideAll(Instant Now) {
  for (auto &[Name, Service] : this->Services)
    if (Service.NeedsEvaluation)
      this->decide(Name, Service, Now);
}

void DecisionLoop::observeAnnouncedLeaving(const ServiceRecord &Record,
                                           ServiceState &Service, Instant Now) {
  for (std::size_t I = 0; I < Record.Targets.size(); ++I) {
    const TargetSpec &Spec = Record.Targets[I];
    const bool Published =
        I < Service.Verdicts.size() && Service.Verdicts[I].Leaving;
    // Handlers read the flag, so it is cleared only after the verdict that
    // replaces it has been published.
    std::atomic<bool> &LeavingFlag = this->getGauge(Spec)->AnnouncedLeaving;
    if (Published)
      LeavingFlag.store(false);
    else if (LeavingFlag.load())
      Service.Health.observe(
          {Record.Name, Spec.Id, Evidence::Leaving, {}, Now, false});
  }
}

void DecisionLoop::decide(const ServiceName &Name, ServiceState &Service,
                          Instant Now) {
  const ServiceRecord *Record = this->findServiceRecord(Name);
  this->observeAnnouncedLeaving(*Record, Service, Now);
  std::vector<TargetVerdict> Verdicts = Service.Health.decide(Now);
  for (const TargetReport &Report : Service.Health.takeReports(Now))
    this->Context.postCommand(SendReport{Report, *Service.PeerNodes});
  const UsualLatency Latency = Service.Health.usualLatency();
  Service.NeedsEvaluation =
      !std::all_of(Verdicts.begin(), Verdicts.end(), isHealthy);
  if (Verdicts == Service.Verdicts &&
      !changedNotably(Service.PublishedLatency.Median, Latency.Median) &&
      !changedNotably(Service.PublishedLatency.High, Latency.High))
    return;
  this->logTargetChanges(Name, Service.Verdicts, Verdicts);
  Service.Verdicts = std::move(Verdicts);
  Service.PublishedLatency = Latency;
  this->rebuildServiceView(Name, Service);
  this->SnapshotChanged = true;
}

void DecisionLoop::logTargetChanges(const ServiceName &Name,
                                    const std::vector<TargetVerdict> &Old,
                                    const std::vector<TargetVerdict> &New) {
  for (std::size_t I = 0; I < New.size() && I < Old.size(); ++I) {
    const TargetVerdict &Verdict = New[I];
    const bool StateSame = Verdict.State == Old[I].State;
    if (StateSame && Verdict.Leaving == Old[I].Leaving &&
        Verdict.Admitted == Old[I].Admitted)
      continue;
    if (!StateSame && Verdict.State == TargetHealth::State::Ejected)
      this->countEjection(Name, Verdict);
    logEvent(LogLevel::Info,
             "target " + Verdict.Id.str() + " of service " + Name.str() +
                 " is now " +
                 (Verdict.Leaving ? "leaving" : targetStateName(Verdict.State)),
             {{"admitted", Verdict.Admitted ? "yes" : "no"},
              {"kept_by_floor", Verdict.KeptByFloor ? "yes" : "no"},
              {"reason", Verdict.Reason}});
  }
}

void DecisionLoop::countEjection(const ServiceName &Name,
                                 const TargetVerdict &Verdict) {
  this->Context.NodeMetrics.countEjection(Name.str());
  if (Verdict.ByGroup)
    ++this->Context.GroupEjections;
}

std::shared_ptr<TargetGauge> DecisionLoop::getGauge(const TargetSpec &Spec) {
  // An address may be reused by another target, and an id by another process of
  // the target; each gets a gauge of its own.
  const std::string Key = Spec.Id.str() + "@" + Spec.Endpoint.str() + "#" +
                          std::to_string(Spec.Process.Value);
  std::shared_ptr<TargetGauge> &Gauge = this->Gauges[Key];
  if (!Gauge)
    Gauge = std::make_shared<TargetGauge>();
  return Gauge;
}

void DecisionLoop::rebuildServiceView(const ServiceName &Name,
                                      const ServiceState &Service) {
  auto View = std::make_shared<ServiceView>();
  View->Record = *this->findServiceRecord(Name);
  View->Gate = Service.Gate;
  View->PeerNodes = Service.PeerNodes;
  View->Group = Service.Group;
  View->MedianLatency = Service.PublishedLatency.Median;
  View->HighLatency = Service.PublishedLatency.High;
  for (std::size_t I = 0; I < Service.Verdicts.size(); ++I) {
    const TargetSpec &Spec = View->Record.Targets[I];
    View->Targets.push_back({Spec, Service.Verdicts[I], this->getGauge(Spec),
                             Service.SendsTrialRequests[I]});
  }
  this->NextSnapshot.ServiceViews.set(Name, std::move(View));
}

void DecisionLoop::publish() {
  ++this->NextSnapshot.Version;
  this->NextSnapshot.HighestRevision = this->records().highest();
  this->NextSnapshot.RecordCount = this->records().all().size();
  if (const auto &Required = this->Context.NodeSettings.RequiredRecord)
    this->NextSnapshot.ConfigRevision =
        this->Context.Records.revision(*Required);
  this->Context.Snapshots.set(std::make_shared<Snapshot>(this->NextSnapshot));
  // After the snapshot: requests must see the revision that is confirmed.
  this->Context.ConfigView.with([this](ConfirmedView &View) {
    View.setApplied(this->NextSnapshot.ConfigRevision);
  });
  this->Context.NodeMetrics.setHighestRevision(
      static_cast<double>(this->NextSnapshot.HighestRevision.Value));
  this->SnapshotChanged = false;
}

} // namespace siskinstage
