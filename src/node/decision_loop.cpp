#include "node/decision_loop.h"
#include "core/requests/account_directory.h"
#include "net/boot_time.h"
#include "node/node_context.h"
#include "siskinstage/config.h"

#include <algorithm>
#include <utility>

namespace siskinstage {

namespace {

std::string sourceName(const RecordOrigin &From) {
  return From.Domain.empty() ? "platform" : "node of " + From.Domain.str();
}

const char *arrivalName(RecordOrigin::Way Arrival) {
  switch (Arrival) {
  case RecordOrigin::Way::Platform:
    return "read";
  case RecordOrigin::Way::Update:
    return "update";
  case RecordOrigin::Way::Announcement:
    return "announcement";
  case RecordOrigin::Way::Comparison:
    return "comparison";
  }
  return "";
}

} // namespace

DecisionLoop::DecisionLoop(NodeContext &Context)
    : Context(Context), NextSnapshot(*Context.Snapshots.get()),
      Services(Context, NextSnapshot),
      Readiness(Context.NodeSettings, bootNow()) {}

const RecordStore &DecisionLoop::records() const {
  return this->Context.Records.unlocked();
}

void DecisionLoop::run() {
  while (!this->Context.Stop.stopped()) {
    this->Context.DecisionWakeup.wait(this->waitLimit());
    this->processUpdates();
    this->processObservations();
    const bool Decided = this->Services.decideAll(bootNow());
    this->Services.expireConnections(bootNow());
    const bool Readied =
        this->Readiness.update(this->records(), bootNow(), this->NextSnapshot);
    this->SnapshotChanged = this->SnapshotChanged || Decided || Readied;
    if (this->SnapshotChanged)
      this->publish();
    this->Context.Stop.sleep(config::DecisionBatchInterval);
  }
}

Duration DecisionLoop::waitLimit() const {
  return this->Services.needsEvaluation() || !this->NextSnapshot.Configured
             ? config::DecisionPeriod
             : config::DecisionIdleInterval;
}

void DecisionLoop::processObservations() {
  while (const auto Sample = this->Context.Observations.pop())
    this->Services.observe(*Sample);
}

void DecisionLoop::processUpdates() {
  while (auto Update = this->Context.Updates.pop()) {
    // Records that come together are assembled once: that takes as long as the
    // service has targets. All other messages need the current services.
    if (!std::holds_alternative<RecordBatch>(*Update))
      this->Services.assembleStale();
    std::visit([this](auto &Message) { this->apply(Message); }, *Update);
  }
  this->Services.assembleStale();
}

void DecisionLoop::apply(RecordBatch &Batch) {
  const bool FromPeer = !Batch.Origin.Domain.empty();
  for (const Record &New : Batch.Records) {
    const auto Deletion = FromPeer ? this->findDeletion(New) : std::nullopt;
    // The sender has no tombstone either, so that it is sent to all nodes.
    if (Deletion)
      this->adopt(*Deletion, {});
    else
      this->adopt(New, Batch.Origin);
  }
  if (Batch.ListsOutdated)
    this->Lists.clear();
  if (Batch.Complete)
    this->applyList(*Batch.Complete);
  this->Readiness.onRecords(Batch);
}

void DecisionLoop::applyList(const RecordList &List) {
  const auto Deletions = this->Lists.add(List, this->records());
  for (const Record &Deletion : Deletions)
    this->adopt(Deletion, {});
  logEvent(LogLevel::Info,
           "entries that the platform store lacks count as deleted",
           {{"revision", std::to_string(List.AsOf.Value)},
            {"epoch", std::to_string(List.AsOf.Epoch.Value)},
            {"kept", std::to_string(List.Names.size())},
            {"dropped", std::to_string(Deletions.size())}});
}

void DecisionLoop::adopt(const Record &New, const RecordOrigin &From) {
  const Record *Current = this->records().find(New.Key);
  const auto Old =
      Current == nullptr ? std::nullopt : std::optional<Record>(*Current);
  const Revision Before = this->records().highest();
  const auto Adoption = this->Context.Records.adopt(New);
  this->followEpoch(Before, New, From);
  if (Adoption != RecordStore::Adoption::Adopted)
    return;
  this->SnapshotChanged = true;
  if (Old)
    this->removeRecord(*Old);
  this->applyRecord(New);
  logEvent(LogLevel::Info, "record " + New.Key.text() + " applied",
           {{"revision", std::to_string(New.Rev.Value)},
            {"epoch", std::to_string(New.Rev.Epoch.Value)},
            {"source", sourceName(From)},
            {"peer", From.Peer.str()},
            {"way", arrivalName(From.Arrival)}});
  this->broadcastRecord(New, From);
}

void DecisionLoop::followEpoch(const Revision &Before, const Record &New,
                               const RecordOrigin &From) {
  const Revision After = this->records().highest();
  if (After.Epoch == Before.Epoch)
    return;
  this->SnapshotChanged = true;
  if (Before.Epoch == HistoryEpoch{})
    return; // The first record of the platform.
  logEvent(LogLevel::Info, "the platform's history has a new epoch",
           {{"epoch_before", std::to_string(Before.Epoch.Value)},
            {"epoch", std::to_string(After.Epoch.Value)},
            {"revision_before", std::to_string(Before.Value)},
            {"revision", std::to_string(After.Value)},
            {"record", New.Key.text()},
            {"source", sourceName(From)},
            {"records", std::to_string(this->records().all().size())}});
}

std::optional<Record> DecisionLoop::findDeletion(const Record &New) const {
  auto Deletion = this->Lists.deletionOf(New, this->records());
  if (Deletion)
    logEvent(LogLevel::Info,
             "record " + New.Key.text() +
                 " of a peer is not applied: the platform has deleted it",
             {{"revision", std::to_string(New.Rev.Value)},
              {"deleted_as_of", std::to_string(Deletion->Rev.Value)}});
  return Deletion;
}

void DecisionLoop::broadcastRecord(const Record &New,
                                   const RecordOrigin &From) {
  // Not broadcast during startup: each node that starts reads all records.
  if (!this->NextSnapshot.Configured)
    return;
  RecordSource Source = RecordSource::Platform;
  if (!From.Domain.empty())
    Source = From.Domain == this->Context.NodeSettings.Domain
                 ? RecordSource::OwnDomain
                 : RecordSource::OtherDomain;
  RecordUpdate Update = {New.Key, New.Rev, ""};
  if (New.Text && New.Text->size() <= config::MaxInlineRecordBytes)
    Update.Text = *New.Text;
  // If the ring is full, peers find the record by comparing digests.
  this->Context.postCommand(
      BroadcastRecord{std::move(Update), {Source, From.Peer}});
}

void DecisionLoop::removeRecord(const Record &Old) {
  if (const auto *Route = std::get_if<RouteRecord>(&Old.Body)) {
    this->NextSnapshot.Routes.remove(*Route);
  } else if (const auto *Target = std::get_if<TargetRecord>(&Old.Body)) {
    this->Services.removeTarget(*Target);
  } else if (const auto *Bundle = std::get_if<BundleRecord>(&Old.Body)) {
    this->NextSnapshot.AccountsByKey.reset();
    this->configureQuotas();
    for (const RouteRecord &Route : Bundle->Routes)
      this->NextSnapshot.Routes.remove(Route);
  }
}

void DecisionLoop::applyRecord(const Record &New) {
  const auto Deleted = std::holds_alternative<Tombstone>(New.Body);
  if (const auto *Fleet = std::get_if<FleetRecord>(&New.Body)) {
    this->NextSnapshot.Fleet = *Fleet;
    this->Services.configureGates();
  } else if (const auto *Route = std::get_if<RouteRecord>(&New.Body)) {
    this->NextSnapshot.Routes.add(*Route);
    this->Services.configureGates();
  } else if (const auto *Account = std::get_if<AccountRecord>(&New.Body)) {
    this->NextSnapshot.AccountRecords.set(Account->Name, *Account);
  } else if (const auto *Service = std::get_if<ServiceRecord>(&New.Body)) {
    this->Services.setService(*Service);
  } else if (const auto *Target = std::get_if<TargetRecord>(&New.Body)) {
    this->Services.setTarget(*Target);
  } else if (const auto *Bundle = std::get_if<BundleRecord>(&New.Body)) {
    this->applyBundle(*Bundle);
  } else if (Deleted && New.Key.Kind == RecordKind::Account) {
    this->NextSnapshot.AccountRecords.erase(AccountName(New.Key.Name));
  } else if (Deleted && New.Key.Kind == RecordKind::Service) {
    this->Services.removeService(ServiceName(New.Key.Name));
  }
}

void DecisionLoop::applyBundle(const BundleRecord &New) {
  this->NextSnapshot.AccountsByKey = New.Accounts;
  this->configureQuotas();
  for (const RouteRecord &Route : New.Routes)
    this->NextSnapshot.Routes.add(Route);
  std::set<ServiceName> InBundle;
  for (const ServiceRecord &Service : New.Services) {
    InBundle.insert(Service.Name);
    this->Services.setService(Service);
  }
  for (const ServiceName &Name : this->Services.names())
    if (InBundle.count(Name) == 0 &&
        this->records().find({RecordKind::Service, Name.str()}) == nullptr)
      this->Services.removeService(Name);
  this->Services.configureGates();
}

void DecisionLoop::apply(InstanceBatch &Batch) {
  std::set<Address> Leaving;
  SetSeeds Seeds;
  std::set<FailureDomain> NodeDomains;
  for (const Instance &Listed : Batch.Instances) {
    if (Listed.InstanceRole == Instance::Role::Target &&
        Listed.InstanceState == Instance::State::Leaving)
      Leaving.insert(Listed.Endpoint);
    if (Listed.InstanceRole != Instance::Role::Node ||
        Listed.InstanceState != Instance::State::Live ||
        Listed.Endpoint == this->Context.NodeSettings.FleetAddress)
      continue;
    Seeds.Seeds.push_back(Listed.Endpoint);
    NodeDomains.insert(Listed.Domain);
  }
  this->Context.Quotas.setListed(
      std::set<Address>(Seeds.Seeds.begin(), Seeds.Seeds.end()));
  this->ListedNodes = Seeds.Seeds.size();
  this->configureQuotas();
  const std::vector<Address> &ConfiguredSeeds =
      this->Context.NodeSettings.Seeds;
  Seeds.Seeds.insert(Seeds.Seeds.end(), ConfiguredSeeds.begin(),
                     ConfiguredSeeds.end());
  this->Context.postCommand(std::move(Seeds));
  this->Readiness.onInstanceList(std::move(NodeDomains));
  this->Services.setLeaving(std::move(Leaving));
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
  this->Services.updateServingNodes();
  this->configureQuotas();
  this->SnapshotChanged = true;
}

void DecisionLoop::apply(ReceivedReport &Received) {
  this->Services.report(Received);
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

void DecisionLoop::configureQuotas() {
  const auto &Directory = this->NextSnapshot.AccountsByKey;
  std::vector<Address> Sharing;
  const bool Limited =
      Directory &&
      std::any_of(Directory->accounts().begin(), Directory->accounts().end(),
                  [](const AccountRecord &Account) {
                    return Account.RatePerSecond > 0;
                  });
  const bool HasEntries = this->Context.NodeSettings.EntriesPerDomain > 0;
  if (Limited)
    for (const SteeringNode &Node : HasEntries ? this->NextSnapshot.EntryNodes
                                               : this->NextSnapshot.LiveNodes)
      Sharing.push_back(Node.Endpoint);
  const std::size_t Live = this->NextSnapshot.LiveNodes.size();
  this->Context.Quotas.setEntries(Sharing, Live * 2 > this->ListedNodes);
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
      this->NextSnapshot.HighestRevision);
  this->SnapshotChanged = false;
}

} // namespace siskinstage
