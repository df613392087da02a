#include "node/decision_loop.h"
#include "net/boot_time.h"
#include "node/node_context.h"
#include "node/service_gate.h"
#include "node/target_gauge.h"
#include "siskinstage/config.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace siskinstage {

namespace {

/// A usual latency that moved by less than this share is not published anew.
constexpr double LatencyChange = 0.2;

bool movedMuch(Duration Old, Duration New) {
  const auto Before = static_cast<double>(Old.count());
  const auto After = static_cast<double>(New.count());
  return std::abs(After - Before) > LatencyChange * std::max(Before, 1.0);
}

bool sameNodes(const std::vector<SteeringNode> &Left,
               const std::vector<SteeringNode> &Right) {
  return std::equal(Left.begin(), Left.end(), Right.begin(), Right.end(),
                    [](const SteeringNode &L, const SteeringNode &R) {
                      return L.Where == R.Where;
                    });
}

bool isSettled(const TargetVerdict &Verdict) {
  return Verdict.State == TargetHealth::State::Healthy;
}

} // namespace

DecisionLoop::DecisionLoop(NodeContext &Context)
    : Context(Context), Started(bootNow()), Next(*Context.Snapshots.get()) {}

const RecordStore &DecisionLoop::records() const {
  return this->Context.Records.unlocked();
}

void DecisionLoop::run() {
  while (!this->Context.Stop.stopped()) {
    this->Context.DecisionWakeup.wait(this->pause());
    this->takeUpdates();
    this->takeObservations();
    this->decideAll(bootNow());
    this->checkReady(bootNow());
    if (this->Changed)
      this->publish();
    this->Context.Stop.sleep(config::DecisionGap);
  }
}

Duration DecisionLoop::pause() const {
  const bool Waiting =
      std::any_of(this->Services.begin(), this->Services.end(),
                  [](const auto &Each) { return Each.second.Unsettled; });
  return Waiting || !this->Next.Configured ? config::DecisionPeriod
                                           : config::DecisionRest;
}

void DecisionLoop::takeObservations() {
  while (const auto Seen = this->Context.Observations.pop()) {
    const auto Found = this->Services.find(Seen->Service);
    if (Found == this->Services.end())
      continue;
    Found->second.Health.observe(*Seen);
    Found->second.Unsettled = true;
  }
}

void DecisionLoop::takeUpdates() {
  while (auto Update = this->Context.Updates.pop())
    std::visit([this](auto &Each) { this->apply(Each); }, *Update);
}

void DecisionLoop::apply(RecordBatch &Batch) {
  for (const Record &New : Batch.Records) {
    const Record *Held = this->records().find(New.Key);
    const auto Old =
        Held == nullptr ? std::nullopt : std::optional<Record>(*Held);
    if (this->Context.Records.adopt(New) != RecordStore::Adoption::Adopted)
      continue;
    this->Changed = true;
    if (Old)
      this->withdraw(*Old);
    this->adopt(New);
    logEvent(LogLevel::Info, "record " + New.Key.text() + " is in force",
             {{"revision", std::to_string(New.Rev.Value)}});
    this->announce(New, Batch.SourceDomain);
  }
  for (const ServiceName &Name : std::exchange(this->Stale, {}))
    this->refreshService(Name);
  this->PlatformRead = this->PlatformRead || Batch.PlatformComplete;
  this->PlatformCurrent = this->PlatformCurrent || Batch.PlatformCurrent;
  if (!Batch.ComparedDomain.empty())
    this->ComparedDomains.insert(Batch.ComparedDomain);
}

void DecisionLoop::announce(const Record &New, const FailureDomain &From) {
  // At its start every node reads everything itself.
  if (!this->Next.Configured)
    return;
  NewsSource Source = NewsSource::Platform;
  if (!From.empty())
    Source = From == this->Context.NodeSettings.Domain
                 ? NewsSource::OwnDomain
                 : NewsSource::OtherDomain;
  RecordNews News = {New.Key, New.Rev, ""};
  if (New.Text && New.Text->size() <= config::MaxInlineRecordBytes)
    News.Text = *New.Text;
  // One that is dropped here is found by the comparison of digests.
  this->Context.postCommand(BroadcastRecord{std::move(News), Source});
}

void DecisionLoop::checkReady(Instant Now) {
  if (this->Next.Configured || this->records().all().empty())
    return;
  const bool Waited =
      Now - this->Started >= this->Context.NodeSettings.ReadyWait;
  const std::size_t Compared = this->ComparedDomains.size();
  const std::size_t Listed = this->ListedDomains.size();
  const bool Peers = Compared >= config::ReadyDomains ||
                     (this->ListRead && Compared >= Listed);
  // Peers that know the platform's revisions stand for it.
  const bool Platform = this->PlatformRead || !this->ComparedDomains.empty();
  if (!Waited && !this->PlatformCurrent && (!Peers || !Platform))
    return;
  this->Next.Configured = true;
  this->Changed = true;
  logEvent(LogLevel::Info, "the node is ready",
           {{"domains_compared", std::to_string(this->ComparedDomains.size())},
            {"platform_read", this->PlatformRead ? "yes" : "no"},
            {"waited_out", Waited ? "yes" : "no"}});
}

void DecisionLoop::withdraw(const Record &Old) {
  if (const auto *Route = std::get_if<RouteRecord>(&Old.Body)) {
    this->Next.Routes.remove(*Route);
  } else if (const auto *Target = std::get_if<TargetRecord>(&Old.Body)) {
    this->Listed[Target->Service].erase(Target->Spec.Id);
    this->Stale.insert(Target->Service);
  } else if (const auto *Bundle = std::get_if<BundleRecord>(&Old.Body)) {
    for (const RouteRecord &Route : Bundle->Routes)
      this->Next.Routes.remove(Route);
  }
}

void DecisionLoop::adopt(const Record &New) {
  const auto Deleted = std::holds_alternative<Tombstone>(New.Body);
  if (const auto *Fleet = std::get_if<FleetRecord>(&New.Body)) {
    this->Next.Fleet = *Fleet;
    this->configureGates();
  } else if (const auto *Route = std::get_if<RouteRecord>(&New.Body)) {
    this->Next.Routes.add(*Route);
  } else if (const auto *Account = std::get_if<AccountRecord>(&New.Body)) {
    this->Next.AccountRecords.set(Account->Name, *Account);
  } else if (const auto *Service = std::get_if<ServiceRecord>(&New.Body)) {
    this->adoptService(*Service);
  } else if (const auto *Target = std::get_if<TargetRecord>(&New.Body)) {
    this->adoptTarget(*Target);
  } else if (const auto *Bundle = std::get_if<BundleRecord>(&New.Body)) {
    this->adoptBundle(*Bundle);
  } else if (Deleted && New.Key.Kind == RecordKind::Account) {
    this->Next.AccountRecords.erase(AccountName(New.Key.Name));
  } else if (Deleted && New.Key.Kind == RecordKind::Service) {
    this->dropService(ServiceName(New.Key.Name));
  }
}

void DecisionLoop::dropService(const ServiceName &Name) {
  this->Described.erase(Name);
  this->Services.erase(Name);
  this->Next.ServiceViews.erase(Name);
}

void DecisionLoop::adoptTarget(const TargetRecord &New) {
  this->Listed[New.Service][New.Spec.Id] = New.Spec;
  this->Stale.insert(New.Service);
}

void DecisionLoop::adoptBundle(const BundleRecord &New) {
  for (const RouteRecord &Route : New.Routes)
    this->Next.Routes.add(Route);
  std::set<ServiceName> Kept;
  for (const ServiceRecord &Service : New.Services) {
    Kept.insert(Service.Name);
    this->adoptService(Service);
  }
  std::vector<ServiceName> Gone;
  for (const auto &[Name, Service] : this->Described)
    if (Kept.count(Name) == 0 &&
        this->records().find({RecordKind::Service, Name.str()}) == nullptr)
      Gone.push_back(Name);
  for (const ServiceName &Name : Gone)
    this->dropService(Name);
}

void DecisionLoop::adoptService(const ServiceRecord &New) {
  this->Described[New.Name] = New;
  this->refreshService(New.Name);
}

void DecisionLoop::refreshService(const ServiceName &Name) {
  const auto Base = this->Described.find(Name);
  if (Base == this->Described.end())
    return;
  Held &Is =
      this->Services
          .try_emplace(Name, Held{this->Context.NodeSettings.Domain,
                                  this->Context.NodeSettings.DetectorMode})
          .first->second;
  Is.Record = Base->second;
  for (const auto &[Id, Spec] : this->Listed[Name])
    Is.Record.Targets.push_back(Spec);
  if (!Is.Gate)
    Is.Gate =
        std::make_shared<ServiceGate>(Name, this->Context.Keys.process().Value);
  Is.Gate->configure(Is.Record.Policy, this->retries());
  Is.Health.configure(Is.Record, bootNow());
  Is.Health.setListedLeaving(this->ListedLeaving);
  this->setServing(Is, this->servingNodes(Name));
  Is.Verdicts.clear();
  Is.Unsettled = true;
}

void DecisionLoop::apply(InstanceBatch &Batch) {
  std::set<Address> Leaving;
  SetSeeds Seeds;
  this->ListRead = true;
  this->ListedDomains.clear();
  for (const Instance &Each : Batch.Instances) {
    if (Each.Is == Instance::Role::Target &&
        Each.Now == Instance::State::Leaving)
      Leaving.insert(Each.Where);
    if (Each.Is != Instance::Role::Node || Each.Now != Instance::State::Live ||
        Each.Where == this->Context.NodeSettings.FleetAddress)
      continue;
    Seeds.Seeds.push_back(Each.Where);
    this->ListedDomains.insert(Each.Domain);
  }
  const std::vector<Address> &Set = this->Context.NodeSettings.Seeds;
  Seeds.Seeds.insert(Seeds.Seeds.end(), Set.begin(), Set.end());
  this->Context.postCommand(std::move(Seeds));
  if (Leaving != this->ListedLeaving) {
    this->ListedLeaving = std::move(Leaving);
    for (auto &[Name, Service] : this->Services) {
      Service.Health.setListedLeaving(this->ListedLeaving);
      Service.Unsettled = true;
    }
  }
}

void DecisionLoop::apply(MemberBatch &Batch) {
  std::vector<SteeringNode> Live;
  for (const Member &Each : Batch.Live)
    Live.push_back(
        {Each.Id, Each.Where, Each.Domain, Each.Capacity, Each.Blind});
  std::sort(Live.begin(), Live.end(),
            [](const SteeringNode &Left, const SteeringNode &Right) {
              return Left.Where < Right.Where;
            });
  this->Next.LiveNodes = std::move(Live);
  auto Entries = domainEntries(this->Next.LiveNodes,
                               this->Context.NodeSettings.EntriesPerDomain);
  this->logEntries(Entries);
  this->Next.EntryNodes = std::move(Entries);
  for (auto &[Name, Service] : this->Services) {
    auto Serving = this->servingNodes(Name);
    if (Service.Group && sameNodes(Serving, Service.Serving))
      continue;
    this->setServing(Service, std::move(Serving));
    if (!Service.Verdicts.empty())
      this->rebuildService(Name, Service);
  }
  this->configureGates();
  this->Changed = true;
}

void DecisionLoop::apply(ReceivedReport &Arrival) {
  const auto Found = this->Services.find(Arrival.Service);
  if (Found == this->Services.end())
    return;
  Found->second.Health.report(Arrival.Target, Arrival.Report);
  Found->second.Unsettled = true;
}

void DecisionLoop::logEntries(const std::vector<SteeringNode> &New) const {
  const FailureDomain &Own = this->Context.NodeSettings.Domain;
  const auto InOwn = [&](std::vector<SteeringNode> All) {
    std::erase_if(All,
                  [&](const SteeringNode &Each) { return Each.Domain != Own; });
    return All;
  };
  const auto Chosen = InOwn(New);
  if (this->Context.NodeSettings.EntriesPerDomain == 0 ||
      sameNodes(Chosen, InOwn(this->Next.EntryNodes)))
    return;
  std::string Names;
  std::uint32_t Capacity = 0;
  for (const SteeringNode &Each : Chosen) {
    Names += (Names.empty() ? "" : ",") + Each.Id.str();
    Capacity += Each.Capacity;
  }
  logEvent(LogLevel::Info, "callers of this domain are steered to other nodes",
           {{"entries", Names},
            {"capacity", std::to_string(Capacity)},
            {"members_of_domain",
             std::to_string(InOwn(this->Next.LiveNodes).size())},
            {"members", std::to_string(this->Next.LiveNodes.size())}});
}

RetryShare DecisionLoop::retries() const {
  FleetView View;
  View.Live = std::max<std::size_t>(this->Next.LiveNodes.size(), 1);
  const std::size_t PerDomain = this->Context.NodeSettings.EntriesPerDomain;
  if (PerDomain > 0) {
    const auto &Entries = this->Next.EntryNodes;
    View.Entries = Entries.size();
    View.IsEntry = std::any_of(
        Entries.begin(), Entries.end(), [this](const SteeringNode &Each) {
          return Each.Where == this->Context.NodeSettings.FleetAddress;
        });
  }
  return retryShare(this->Next.Fleet, View);
}

void DecisionLoop::configureGates() {
  for (auto &[Name, Service] : this->Services)
    Service.Gate->configure(Service.Record.Policy, this->retries());
}

std::vector<SteeringNode>
DecisionLoop::servingNodes(const ServiceName &Name) const {
  const ServiceRecord *Record = this->record(Name);
  if (Record == nullptr)
    return {};
  if (this->Context.NodeSettings.EntriesPerDomain > 0)
    return this->Next.EntryNodes;
  const std::size_t Slots =
      Record->Targets.size() * Record->SlotsPerTarget.Value;
  return serviceGroup(
      this->Next.LiveNodes, Name,
      groupNodesPerDomain(Slots, countDomains(this->Next.LiveNodes)));
}

void DecisionLoop::setServing(Held &Service,
                              std::vector<SteeringNode> Serving) const {
  const Address &Self = this->Context.NodeSettings.FleetAddress;
  std::vector<Address> Group;
  for (const SteeringNode &Node : Serving)
    if (Node.Where != Self)
      Group.push_back(Node.Where);
  Service.Group =
      std::make_shared<const std::vector<Address>>(std::move(Group));
  Service.InCharge = targetsInCharge(Serving, Self, Service.Record.Targets);
  Service.Serving = std::move(Serving);
}

const ServiceRecord *DecisionLoop::record(const ServiceName &Name) const {
  const auto Found = this->Services.find(Name);
  return Found == this->Services.end() ? nullptr : &Found->second.Record;
}

void DecisionLoop::decideAll(Instant Now) {
  for (auto &[Name, Service] : this->Services)
    if (Service.Unsettled)
      this->decide(Name, Service, Now);
}

void DecisionLoop::noteSaidLeaving(const ServiceRecord &Record, Held &Service,
                                   Instant Now) {
  for (std::size_t I = 0; I < Record.Targets.size(); ++I) {
    const TargetSpec &Spec = Record.Targets[I];
    const bool Known =
        I < Service.Verdicts.size() && Service.Verdicts[I].Leaving;
    // The handlers' mark is taken back only after the verdict is published.
    std::atomic<bool> &Said = this->gaugeOf(Spec)->SaidLeaving;
    if (Known)
      Said.store(false);
    else if (Said.load())
      Service.Health.observe(
          {Record.Name, Spec.Id, Evidence::Leaving, {}, Now, false});
  }
}

void DecisionLoop::decide(const ServiceName &Name, Held &Service, Instant Now) {
  const ServiceRecord *Record = this->record(Name);
  this->noteSaidLeaving(*Record, Service, Now);
  std::vector<TargetVerdict> Verdicts = Service.Health.decide(Now);
  for (const TargetReport &Report : Service.Health.takeReports(Now))
    this->Context.postCommand(SendReport{Report, *Service.Group});
  const UsualLatency Usual = Service.Health.usual();
  Service.Unsettled = !std::all_of(Verdicts.begin(), Verdicts.end(), isSettled);
  if (Verdicts == Service.Verdicts &&
      !movedMuch(Service.Usual.Median, Usual.Median) &&
      !movedMuch(Service.Usual.High, Usual.High))
    return;
  this->logChanges(Name, Service.Verdicts, Verdicts);
  Service.Verdicts = std::move(Verdicts);
  Service.Usual = Usual;
  this->rebuildService(Name, Service);
  this->Changed = true;
}

void DecisionLoop::logChanges(const ServiceName &Name,
                              const std::vector<TargetVerdict> &Old,
                              const std::vector<TargetVerdict> &New) {
  for (std::size_t I = 0; I < New.size() && I < Old.size(); ++I) {
    const TargetVerdict &Now = New[I];
    const bool StateSame = Now.State == Old[I].State;
    if (StateSame && Now.Leaving == Old[I].Leaving &&
        Now.Admitted == Old[I].Admitted)
      continue;
    if (!StateSame && Now.State == TargetHealth::State::Ejected)
      this->noteEjection(Name, Now);
    logEvent(LogLevel::Info,
             "target " + Now.Id.str() + " of service " + Name.str() + " is " +
                 (Now.Leaving ? "leaving" : targetStateName(Now.State)),
             {{"admitted", Now.Admitted ? "yes" : "no"},
              {"kept_by_floor", Now.KeptByFloor ? "yes" : "no"},
              {"reason", Now.Reason}});
  }
}

void DecisionLoop::noteEjection(const ServiceName &Name,
                                const TargetVerdict &Verdict) {
  this->Context.NodeMetrics.countEjection(Name.str());
  if (Verdict.ByGroup)
    ++this->Context.GroupEjections;
}

std::shared_ptr<TargetGauge> DecisionLoop::gaugeOf(const TargetSpec &Spec) {
  // An address may pass to another target, and an id to another process.
  const std::string Key = Spec.Id.str() + "@" + Spec.Where.str() + "#" +
                          std::to_string(Spec.Process.Value);
  std::shared_ptr<TargetGauge> &Gauge = this->Gauges[Key];
  if (!Gauge)
    Gauge = std::make_shared<TargetGauge>();
  return Gauge;
}

void DecisionLoop::rebuildService(const ServiceName &Name,
                                  const Held &Service) {
  auto View = std::make_shared<ServiceView>();
  View->Record = *this->record(Name);
  View->Gate = Service.Gate;
  View->PeerNodes = Service.Group;
  View->MedianLatency = Service.Usual.Median;
  View->HighLatency = Service.Usual.High;
  for (std::size_t I = 0; I < Service.Verdicts.size(); ++I) {
    const TargetSpec &Spec = View->Record.Targets[I];
    View->Targets.push_back(
        {Spec, Service.Verdicts[I], this->gaugeOf(Spec), Service.InCharge[I]});
  }
  this->Next.ServiceViews.set(Name, std::move(View));
}

void DecisionLoop::publish() {
  ++this->Next.Version;
  this->Next.HighestRevision = this->records().highest();
  this->Next.RecordCount = this->records().all().size();
  this->Context.Snapshots.set(std::make_shared<Snapshot>(this->Next));
  this->Context.NodeMetrics.setHighestRevision(
      static_cast<double>(this->Next.HighestRevision.Value));
  this->Changed = false;
}

} // namespace siskinstage
