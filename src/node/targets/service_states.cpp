#include "node/targets/service_states.h"
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

bool isHealthy(const TargetVerdict &Verdict) {
  return Verdict.State == TargetHealth::State::Healthy;
}

} // namespace

ServiceStates::ServiceStates(NodeContext &Context, Snapshot &Next)
    : Context(Context), NextSnapshot(Next) {}

void ServiceStates::observe(const Observation &Sample) {
  const auto Found = this->Services.find(Sample.Service);
  if (Found == this->Services.end())
    return;
  Found->second.Health.observe(Sample);
  Found->second.NeedsEvaluation = true;
}

void ServiceStates::report(const ReceivedReport &Received) {
  const auto Found = this->Services.find(Received.Service);
  if (Found == this->Services.end())
    return;
  Found->second.Health.report(Received.Target, Received.Report);
  Found->second.NeedsEvaluation = true;
}

void ServiceStates::removeService(const ServiceName &Name) {
  this->ServiceRecords.erase(Name);
  this->Services.erase(Name);
  this->NextSnapshot.ServiceViews.erase(Name);
}

std::vector<ServiceName> ServiceStates::names() const {
  std::vector<ServiceName> Names;
  for (const auto &[Name, Service] : this->ServiceRecords)
    Names.push_back(Name);
  return Names;
}

void ServiceStates::setTarget(const TargetRecord &New) {
  this->TargetSpecs[New.Service][New.Spec.Id] = New.Spec;
  this->StaleServices.insert(New.Service);
}

void ServiceStates::removeTarget(const TargetRecord &Old) {
  this->TargetSpecs[Old.Service].erase(Old.Spec.Id);
  this->StaleServices.insert(Old.Service);
  this->ReplacedTargets.push_back(Old);
}

void ServiceStates::assembleStale() {
  for (const ServiceName &Name : std::exchange(this->StaleServices, {}))
    this->assembleService(Name);
  for (const TargetRecord &Old : std::exchange(this->ReplacedTargets, {}))
    this->retireIfGone(Old);
}

void ServiceStates::retireIfGone(const TargetRecord &Old) {
  const auto &Specs = this->TargetSpecs[Old.Service];
  const auto Current = Specs.find(Old.Spec.Id);
  const bool Gone = Current == Specs.end() ||
                    Current->second.Endpoint != Old.Spec.Endpoint ||
                    Current->second.Process != Old.Spec.Process;
  if (Gone)
    this->getGauge(Old.Spec)->Pool.retire();
}

void ServiceStates::expireConnections(Instant Now) {
  if (Now < this->NextExpiry)
    return;
  this->NextExpiry = Now + config::TargetSweepPeriod;
  for (const auto &[Key, Gauge] : this->Gauges)
    Gauge->Pool.expire(Now);
}

void ServiceStates::setLeaving(std::set<Address> Leaving) {
  if (Leaving == this->LeavingTargets)
    return;
  this->LeavingTargets = std::move(Leaving);
  for (auto &[Name, Service] : this->Services) {
    Service.Health.setListedLeaving(this->LeavingTargets);
    Service.NeedsEvaluation = true;
  }
}

void ServiceStates::updateServingNodes() {
  for (auto &[Name, Service] : this->Services) {
    auto Serving = this->servingNodes(Name);
    if (Service.Group && sameNodes(Serving, Service.Group->Nodes))
      continue;
    this->setServingNodes(Service, std::move(Serving));
    if (!Service.Verdicts.empty())
      this->rebuildServiceView(Name, Service);
  }
  this->configureGates();
}

bool ServiceStates::needsEvaluation() const {
  return std::any_of(
      this->Services.begin(), this->Services.end(),
      [](const auto &Entry) { return Entry.second.NeedsEvaluation; });
}

void ServiceStates::setService(const ServiceRecord &New) {
  this->ServiceRecords[New.Name] = New;
  this->assembleService(New.Name);
}

void ServiceStates::assembleService(const ServiceName &Name) {
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

RetryShare ServiceStates::nodeRetryShare() const {
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

WaitQueue::OrderKind ServiceStates::waitOrder() const {
  const Snapshot &Next = this->NextSnapshot;
  return Next.AccountsByKey || Next.Routes.prioritiesDiffer()
             ? WaitQueue::OrderKind::Worth
             : WaitQueue::OrderKind::Arrival;
}

void ServiceStates::configureGates() {
  const auto Order = this->waitOrder();
  for (auto &[Name, Service] : this->Services) {
    Service.Gate->configure(Service.Record.Policy, this->nodeRetryShare());
    Service.Gate->setOrder(Order);
  }
}

std::vector<SteeringNode>
ServiceStates::servingNodes(const ServiceName &Name) const {
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

void ServiceStates::setServingNodes(ServiceState &Service,
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
  Service.IsTrialDeputy =
      deputyAssignments(Serving, Self, Service.Record.Targets);
  Service.Group = std::make_shared<const ServingGroup>(
      ServingGroup{std::move(Serving), Self});
}

const ServiceRecord *
ServiceStates::findServiceRecord(const ServiceName &Name) const {
  const auto Found = this->Services.find(Name);
  return Found == this->Services.end() ? nullptr : &Found->second.Record;
}

bool ServiceStates::decideAll(Instant Now) {
  bool Changed = false;
  for (auto &[Name, Service] : this->Services)
    if (Service.NeedsEvaluation)
      Changed = this->decide(Name, Service, Now) || Changed;
  return Changed;
}

void ServiceStates::observeAnnouncedLeaving(const ServiceRecord &Record,
                                            ServiceState &Service,
                                            Instant Now) {
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

bool ServiceStates::decide(const ServiceName &Name, ServiceState &Service,
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
    return false;
  this->logTargetChanges(Name, Service.Verdicts, Verdicts);
  Service.Verdicts = std::move(Verdicts);
  Service.PublishedLatency = Latency;
  this->rebuildServiceView(Name, Service);
  return true;
}

void ServiceStates::logTargetChanges(const ServiceName &Name,
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

void ServiceStates::countEjection(const ServiceName &Name,
                                  const TargetVerdict &Verdict) {
  this->Context.NodeMetrics.countEjection(Name.str());
  if (Verdict.ByGroup)
    ++this->Context.GroupEjections;
}

std::shared_ptr<TargetGauge> ServiceStates::getGauge(const TargetSpec &Spec) {
  // An address may be reused by another target, and an id by another process of
  // the target; each gets a gauge of its own.
  const std::string Key = Spec.Id.str() + "@" + Spec.Endpoint.str() + "#" +
                          std::to_string(Spec.Process.Value);
  std::shared_ptr<TargetGauge> &Gauge = this->Gauges[Key];
  if (!Gauge)
    Gauge = std::make_shared<TargetGauge>();
  return Gauge;
}

void ServiceStates::rebuildServiceView(const ServiceName &Name,
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
                             Service.SendsTrialRequests[I],
                             Service.IsTrialDeputy[I]});
  }
  this->NextSnapshot.ServiceViews.set(Name, std::move(View));
}

} // namespace siskinstage
