#include "node/fleet/gossip_loop.h"
#include "core/fleet/gossip_codec.h"
#include "net/boot_time.h"
#include "net/json_rpc.h"
#include "net/wall_clock.h"
#include "node/fleet/watcher_role.h"
#include "node/node_context.h"
#include "node/records/record_import.h"
#include "node/snapshot.h"
#include "node/targets/notice_log.h"
#include "node/targets/service_gate.h"
#include "node/targets/target_gauge.h"
#include "siskinstage/config.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <algorithm>
#include <array>
#include <cerrno>
#include <poll.h>

namespace siskinstage {

namespace {

/// Period at which the members and statistics are published for operators while
/// nothing changes.
constexpr std::chrono::milliseconds PublishPeriod{2000};
/// Changes within this period are published together: each publication makes
/// the node compute entries, watchers and groups again, and while many nodes
/// start, each tick brings changes.
constexpr std::chrono::milliseconds ChangePublishPeriod{150};
constexpr int MaxDatagramsAtOnce = 256;
constexpr int ReceiveBufferBytes = 1024 * 1024;

Member selfOf(const NodeContext &Context) {
  Member Self;
  Self.Endpoint = Context.NodeSettings.FleetAddress;
  Self.Id = Context.NodeSettings.Id;
  Self.Domain = Context.NodeSettings.Domain;
  Self.Process = Context.Keys.process();
  Self.Capacity = Context.NodeSettings.Capacity;
  // A process that replaces another one starts later, so its version is higher.
  // If its clock is behind, it learns the higher version from other members.
  Self.StateVersion = {wallClockMs()};
  return Self;
}

} // namespace

GossipLoop::GossipLoop(NodeContext &Context, std::uint64_t Seed)
    : Context(Context), Members(selfOf(Context), Seed), RandomSource(Seed + 1),
      Seal(*Context.NodeSettings.Keys, Context.Keys.process()),
      Confirmations(Context, Seed + 2) {}

Result<std::unique_ptr<GossipLoop>> GossipLoop::start(NodeContext &Context,
                                                      std::uint64_t Seed) {
  std::unique_ptr<GossipLoop> New(new GossipLoop(Context, Seed));
  const std::string Endpoint = Context.NodeSettings.FleetListen.str();
  try {
    New->Socket.bind(Poco::Net::SocketAddress(Endpoint), true, false);
    New->Socket.setReceiveBufferSize(ReceiveBufferBytes);
    New->Socket.setBlocking(false);
  } catch (const Poco::Exception &Fault) {
    return fail(Step::Listen, Endpoint + "/udp", Fault.displayText());
  }
  New->Members.setSeeds(Context.NodeSettings.Seeds);
  New->publishView(bootNow());
  return New;
}

void GossipLoop::run() {
  const int Descriptor = this->Socket.impl()->sockfd();
  const PipeWakeup &WakeupPipe = this->Context.GossipWakeup;
  while (!this->Context.Stop.stopped()) {
    std::array<pollfd, 2> Polled = {
        {{Descriptor, POLLIN, 0}, {WakeupPipe.descriptor(), POLLIN, 0}}};
    ::poll(Polled.data(), Polled.size(),
           static_cast<int>(config::GossipTick.count()));
    WakeupPipe.clear();
    this->receiveAll();
    this->executeCommands();
    const Instant Now = bootNow();
    this->send(this->Members.tick(Now));
    if (const auto Request = this->Confirmations.tick(Now))
      this->send(Request->first, this->Members.compose(Request->second));
    this->send(this->Context.Quotas.tick());
    if (this->Context.Drain.active() && !this->LeaveSent) {
      this->LeaveSent = true;
      this->send(this->Members.leave(Now));
    }
    this->publishView(Now);
  }
}

const std::vector<Member> &GossipLoop::liveMembers() {
  if (this->Live.empty() || this->LiveVersion != this->Members.version()) {
    this->Live = this->Members.live();
    this->LiveVersion = this->Members.version();
  }
  return this->Live;
}

void GossipLoop::receiveAll() {
  std::array<char, 2048> Buffer{};
  for (int I = 0; I < MaxDatagramsAtOnce; ++I) {
    int Length = 0;
    try {
      Poco::Net::SocketAddress From;
      Length = this->Socket.receiveFrom(Buffer.data(),
                                        static_cast<int>(Buffer.size()), From);
    } catch (const Poco::Exception &) {
      return; // No datagram is left, or a destination is unreachable.
    }
    if (Length <= 0)
      return;
    this->Context.Traffic.BytesReceived += static_cast<std::uint64_t>(Length);
    this->receive(std::string(Buffer.data(), static_cast<std::size_t>(Length)));
  }
}

void GossipLoop::receive(const std::string &Datagram) {
  const auto Payload = this->Seal.open(Datagram, wallClockMs());
  Json::Value Params;
  if (!Payload || !readGossipNotification(*Payload, Params)) {
    ++this->Context.Traffic.Rejected;
    return;
  }
  const auto Message = decodeGossip(Params);
  if (!Message) {
    ++this->Context.Traffic.Rejected;
    logError(LogLevel::Warn, "malformed gossip message rejected",
             Message.error());
    return;
  }
  if (Message->From.Endpoint == this->Members.self().Endpoint)
    return;
  this->Context.LastGossip.store(bootNow().time_since_epoch().count());
  if (Message->Epoch)
    this->Context.PlatformHistory.note(Message->Epoch->Epoch,
                                       bootNow() - Message->Epoch->Age);
  this->handle(*Message);
}

void GossipLoop::handle(const GossipMessage &Message) {
  this->send(this->Members.receive(Message, bootNow()));
  if (const auto *Update = std::get_if<RecordUpdate>(&Message.Body))
    this->handleRecord(*Update, Message.From);
  else if (const auto *Request = std::get_if<RecordRequest>(&Message.Body))
    this->handleRecordRequest(*Request, Message.From);
  else if (const auto *Report = std::get_if<TargetReport>(&Message.Body))
    this->Context.tryPostUpdate(
        ReceivedReport{Report->Service, Report->Target,
                       PeerReport{Message.From.Endpoint, Message.From.Domain,
                                  Report->Kind, Report->Streak, bootNow()}});
  else if (const auto *Gray = std::get_if<GrayEstimateUpdate>(&Message.Body))
    this->handleGrayEstimate(*Gray, Message.From);
  else if (const auto *Limit = std::get_if<RateLimitUpdate>(&Message.Body))
    this->handleRateLimit(*Limit, Message.From);
  else if (const auto *Crash = std::get_if<CrashReport>(&Message.Body))
    this->handleCrash(*Crash);
  else if (const auto *Request =
               std::get_if<ConfirmationRequest>(&Message.Body))
    this->send(Message.From.Endpoint,
               this->Members.compose(this->Confirmations.respond(*Request)));
  else if (const auto *Response =
               std::get_if<ConfirmationResponse>(&Message.Body))
    this->Confirmations.handle(*Response, Message.From);
  else if (const auto *Request = std::get_if<QuotaRequest>(&Message.Body))
    this->send(this->Context.Quotas.receive(Message.From.Endpoint,
                                            Message.From.Process, *Request));
  else if (const auto *Loan = std::get_if<QuotaResponse>(&Message.Body))
    this->send(this->Context.Quotas.receive(Message.From.Endpoint,
                                            Message.From.Process, *Loan));
  else
    this->compareDigests(Message);
}

void GossipLoop::handleCrash(const CrashReport &Report) {
  // Each node forwards a report that is new to it, so that it reaches all
  // nodes.
  if (this->Context.RequestQuarantine.addCrash(Report.Fingerprint,
                                               Report.Target, bootNow()))
    this->execute(Report);
}

void GossipLoop::handleGrayEstimate(const GrayEstimateUpdate &Estimate,
                                    const Member &From) {
  constexpr double Percent = 100;
  constexpr double SecondsPerMinute = 60;
  const ServiceLoad Load = {Estimate.ArrivalsPerMinute / SecondsPerMinute,
                            Estimate.UnservedPerMinute / SecondsPerMinute};
  const auto Service = this->Context.Snapshots.get()->service(Estimate.Service);
  if (!Service)
    return;
  for (const TargetView &Target : Service->Targets)
    if (Target.Spec.Id == Estimate.Target)
      Service->Gate->adopt(*Target.Gauge, Estimate.Percent / Percent,
                           From.Endpoint, Load);
}

void GossipLoop::handleRateLimit(const RateLimitUpdate &Update,
                                 const Member &From) {
  const auto Service = this->Context.Snapshots.get()->service(Update.Service);
  if (!Service)
    return;
  for (const TargetView &Target : Service->Targets)
    if (Target.Spec.Id == Update.Target &&
        Target.Spec.Process == Update.Process &&
        Service->Gate->adoptRateLimit(*Service, Target, Update.State,
                                      From.Endpoint))
      logRateLimit(*Service, Target, "node " + From.Id.str());
}

void GossipLoop::handleRecord(const RecordUpdate &Update, const Member &From) {
  if (Update.Rev <= this->Context.Records.expectedRevision(Update.Key))
    return;
  if (Update.Text.empty()) {
    this->Context.postSyncTask({SyncTask::Kind::OneRecord, From.Endpoint,
                                From.Domain, Update.Key, Update.Rev});
    return;
  }
  RecordBatch Batch;
  Batch.Origin = {RecordOrigin::Way::Update, From.Endpoint, From.Domain};
  importRecordText(this->Context, Update.Text, From.Endpoint, Batch);
  this->Context.tryPostUpdate(Batch);
}

void GossipLoop::handleRecordRequest(const RecordRequest &Request,
                                     const Member &From) {
  for (const RecordUpdate &Update :
       this->Recent.missingFrom(Request.Known, bootNow()))
    this->send(From.Endpoint, this->Members.compose(Update));
}

void GossipLoop::compareRecordDigests(const GossipMessage &Message,
                                      Instant Now) {
  if (Message.RecordsDigest == NoRecordsDigest)
    return;
  const SyncTask Comparison = {SyncTask::Kind::Records,
                               Message.From.Endpoint,
                               Message.From.Domain,
                               {},
                               {}};
  if (!this->Context.Snapshots.get()->Configured) {
    if (Now < this->NextRecordSync)
      return;
    this->NextRecordSync = Now + config::GossipAckTimeout;
    this->Context.postSyncTask(Comparison);
    return;
  }
  const auto Actions = this->Repair.onDigest(
      Message.RecordsDigest != this->Context.Records.digest(), Now);
  if (Actions.Request)
    this->send(Message.From.Endpoint,
               this->Members.compose(RecordRequest{this->Recent.marks(Now)}));
  if (Actions.Compare)
    this->Context.postSyncTask(Comparison);
}

void GossipLoop::compareDigests(const GossipMessage &Message) {
  const Instant Now = bootNow();
  this->compareRecordDigests(Message, Now);
  if (Message.MembersDigest == this->Members.digest() ||
      Now < this->NextMemberSync)
    return;
  this->NextMemberSync = Now + this->MemberSyncInterval;
  this->MemberSyncInterval = std::min<Duration>(this->MemberSyncInterval * 2,
                                                config::MaxMemberSyncInterval);
  this->Context.postSyncTask({SyncTask::Kind::Members,
                              Message.From.Endpoint,
                              Message.From.Domain,
                              {},
                              {}});
}

void GossipLoop::executeCommands() {
  while (const auto Command = this->Context.GossipCommands.pop())
    std::visit([this](const auto &Item) { this->execute(Item); }, *Command);
}

void GossipLoop::execute(const BroadcastRecord &Command) {
  this->Recent.add(Command.Update, bootNow());
  this->sendToAll(broadcastRecipients(this->liveMembers(), this->Members.self(),
                                      Command.From, this->RandomSource),
                  Command.Update);
}

void GossipLoop::execute(const SendReport &Command) {
  this->sendToAll(Command.Recipients, Command.Report);
}

void GossipLoop::execute(const SendGrayEstimate &Command) {
  this->sendToAll(*Command.Recipients, Command.Estimate);
}

void GossipLoop::execute(const SendRateLimit &Command) {
  this->sendToAll(*Command.Recipients, Command.Update);
}

void GossipLoop::execute(const SetSeeds &Command) {
  this->Members.setSeeds(Command.Seeds);
}

void GossipLoop::execute(const SetPlatformUnreachable &Command) {
  this->Members.setPlatformUnreachable(Command.Unreachable);
  // The next watchers learn of the change at once instead of by gossip.
  for (const SteeringNode &Node : selectWatchers(this->Members.live()))
    if (Node.Endpoint != this->Members.self().Endpoint)
      this->send(Node.Endpoint, this->Members.compose(Ping{}));
}

void GossipLoop::execute(const CrashReport &Command) {
  this->sendToAll(this->Members.sample(config::UpdateFanout), Command);
}

void GossipLoop::execute(const std::vector<Member> &Table) {
  const std::size_t NewMembers = this->Members.merge(Table, bootNow());
  // While many nodes start, each peer's table holds members that the others
  // lack, so the next table is read soon, until a table holds few new members.
  if (NewMembers * config::MemberSyncNewDivisor >= Table.size())
    this->MemberSyncInterval = config::MinMemberSyncInterval;
}

void GossipLoop::send(const std::vector<OutgoingGossip> &Out) {
  for (const OutgoingGossip &Item : Out)
    this->send(Item.To, Item.Message);
}

void GossipLoop::send(std::vector<OutgoingQuota> Out) {
  for (OutgoingQuota &Item : Out)
    std::visit(
        [&](auto &Body) {
          this->send(Item.To, this->Members.compose(std::move(Body)));
        },
        Item.Message);
}

void GossipLoop::send(const Address &To, GossipMessage Message) {
  this->transmit(To, this->encode(std::move(Message)));
}

void GossipLoop::sendToAll(const std::vector<Address> &Recipients,
                           GossipBody Body) {
  if (Recipients.empty())
    return;
  const std::string Datagram =
      this->encode(this->Members.compose(std::move(Body)));
  for (const Address &To : Recipients)
    this->transmit(To, Datagram);
}

std::string GossipLoop::encode(GossipMessage Message) {
  // Without the records of the platform there is nothing to compare with.
  Message.RecordsDigest = this->Context.Snapshots.get()->HasPlatformRecords
                              ? this->Context.Records.digest()
                              : NoRecordsDigest;
  Message.Epoch =
      this->Context.PlatformHistory.notice(bootNow(), config::EpochNoticeTime);
  std::string Datagram =
      this->Seal.seal(gossipNotification(encodeGossip(Message)), wallClockMs());
  // Membership updates are dropped until a message with a long record fits.
  while (Datagram.size() > config::MaxDatagramBytes &&
         !Message.Updates.empty()) {
    Message.Updates.pop_back();
    Datagram = this->Seal.seal(gossipNotification(encodeGossip(Message)),
                               wallClockMs());
  }
  return Datagram;
}

void GossipLoop::transmit(const Address &To, const std::string &Datagram) {
  try {
    auto [Found, New] = this->ResolvedAddresses.try_emplace(To);
    if (New)
      Found->second = Poco::Net::SocketAddress(To.str());
    this->Socket.sendTo(Datagram.data(), static_cast<int>(Datagram.size()),
                        Found->second);
    this->Context.Traffic.BytesSent += Datagram.size();
  } catch (const Poco::Exception &) {
    // Treated as a lost datagram: gossip tolerates loss.
  }
}

void GossipLoop::publishView(Instant Now) {
  this->EntryChanged |= this->Confirmations.takeEntryChange();
  const bool Changed =
      this->EntryChanged || this->Members.version() != this->PublishedVersion;
  const bool SuspectsChanged =
      this->Members.suspectVersion() != this->PublishedSuspectVersion;
  if (Now < (Changed || SuspectsChanged ? this->NextChangePublish
                                        : this->NextPublish))
    return;
  this->PublishedSuspectVersion = this->Members.suspectVersion();
  this->NextPublish = Now + PublishPeriod;
  this->NextChangePublish = Now + ChangePublishPeriod;
  auto View = std::make_shared<MembershipView>();
  View->Others = this->Members.members();
  View->Live = this->Members.live();
  View->Watchers = Changed || SuspectsChanged || this->PublishedVersion == 0
                       ? selectWatchers(View->Live)
                       : this->Context.Members.load()->Watchers;
  View->Stats = this->Members.stats();
  this->Context.Members.store(View);
  if (Changed || this->PublishedVersion == 0)
    if (!this->Context.tryPostUpdate(
            MemberBatch{View->Live, this->Context.ConfigView.withdrawn()}))
      return; // Retried with the next view.
  this->EntryChanged = false;
  this->PublishedVersion = this->Members.version();
}

} // namespace siskinstage
