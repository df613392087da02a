#include "node/gossip_loop.h"
#include "core/gossip_codec.h"
#include "net/boot_time.h"
#include "net/json_rpc.h"
#include "net/wall_clock.h"
#include "node/node_context.h"
#include "node/record_import.h"
#include "node/service_gate.h"
#include "node/snapshot.h"
#include "node/target_gauge.h"
#include "node/watcher_role.h"
#include "siskinstage/config.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <algorithm>
#include <array>
#include <cerrno>
#include <poll.h>

namespace siskinstage {

namespace {

/// What operators see of members that did not change is no older.
constexpr std::chrono::milliseconds ShowPeriod{2000};
/// Changes within it are decided on together: each works out entries, watchers
/// and groups anew, and when many start at once each tick brings some.
constexpr std::chrono::milliseconds ChangeShowPeriod{150};
constexpr int MaxDatagramsAtOnce = 256;
constexpr int ReceiveBufferBytes = 1024 * 1024;

Member selfOf(const NodeContext &Context) {
  Member Self;
  Self.Where = Context.NodeSettings.FleetAddress;
  Self.Id = Context.NodeSettings.Id;
  Self.Domain = Context.NodeSettings.Domain;
  Self.Process = Context.Keys.process();
  Self.Capacity = Context.NodeSettings.Capacity;
  // A replaced node that starts later outdoes its forerunner at once; should
  // its clock be behind, it learns the higher number from the others.
  Self.Lives = {wallClockMs()};
  return Self;
}

} // namespace

GossipLoop::GossipLoop(NodeContext &Context, std::uint64_t Seed)
    : Context(Context), Members(selfOf(Context), Seed), Dice(Seed + 1),
      Seal(*Context.NodeSettings.Keys, Context.Keys.process()) {}

Result<std::unique_ptr<GossipLoop>> GossipLoop::start(NodeContext &Context,
                                                      std::uint64_t Seed) {
  std::unique_ptr<GossipLoop> New(new GossipLoop(Context, Seed));
  const std::string Where = Context.NodeSettings.FleetListen.str();
  try {
    New->Socket.bind(Poco::Net::SocketAddress(Where), true, false);
    New->Socket.setReceiveBufferSize(ReceiveBufferBytes);
    New->Socket.setBlocking(false);
  } catch (const Poco::Exception &Fault) {
    return fail(Step::Listen, Where + "/udp", Fault.displayText());
  }
  New->Members.setSeeds(Context.NodeSettings.Seeds);
  New->show(bootNow());
  return New;
}

void GossipLoop::run() {
  const int Descriptor = this->Socket.impl()->sockfd();
  const PipeWakeup &Bell = this->Context.GossipWakeup;
  while (!this->Context.Stop.stopped()) {
    std::array<pollfd, 2> Polled = {
        {{Descriptor, POLLIN, 0}, {Bell.descriptor(), POLLIN, 0}}};
    ::poll(Polled.data(), Polled.size(),
           static_cast<int>(config::GossipTick.count()));
    Bell.silence();
    this->receiveAll();
    this->takeOrders();
    const Instant Now = bootNow();
    this->send(this->Members.tick(Now));
    if (this->Context.Draining.load() && !this->SaidFarewell) {
      this->SaidFarewell = true;
      this->send(this->Members.leave(Now));
    }
    this->show(Now);
  }
}

void GossipLoop::receiveAll() {
  std::array<char, 2048> Buffer{};
  for (int I = 0; I < MaxDatagramsAtOnce; ++I) {
    int Got = 0;
    try {
      Poco::Net::SocketAddress From;
      Got = this->Socket.receiveFrom(Buffer.data(),
                                     static_cast<int>(Buffer.size()), From);
    } catch (const Poco::Exception &) {
      return; // Nothing is left, or a destination was unreachable.
    }
    if (Got <= 0)
      return;
    this->Context.Traffic.BytesReceived += static_cast<std::uint64_t>(Got);
    this->receive(std::string(Buffer.data(), static_cast<std::size_t>(Got)));
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
    logError(LogLevel::Warn, "a gossip message is refused", Message.error());
    return;
  }
  if (Message->From.Where == this->Members.self().Where)
    return;
  this->Context.LastGossip.store(bootNow().time_since_epoch().count());
  this->take(*Message);
}

void GossipLoop::take(const GossipMessage &Message) {
  this->send(this->Members.receive(Message, bootNow()));
  if (const auto *News = std::get_if<RecordNews>(&Message.Body))
    this->takeNews(*News, Message.From);
  else if (const auto *Report = std::get_if<TargetReport>(&Message.Body))
    this->Context.tryPostUpdate(
        ReceivedReport{Report->Service, Report->Target,
                       PeerReport{Message.From.Where, Message.From.Domain,
                                  Report->What, Report->Streak, bootNow()}});
  else if (const auto *Gray = std::get_if<GrayNews>(&Message.Body))
    this->takeGray(*Gray);
  else if (const auto *Crash = std::get_if<CrashNews>(&Message.Body))
    this->takeCrash(*Crash);
  else
    this->compareDigests(Message);
}

void GossipLoop::takeCrash(const CrashNews &News) {
  // What is new here is passed on; so it reaches every node.
  if (this->Context.RequestQuarantine.crashed(News.Print, News.Target,
                                              bootNow()))
    this->obey(News);
}

void GossipLoop::takeGray(const GrayNews &News) {
  constexpr double Percent = 100;
  const auto Service = this->Context.Snapshots.get()->service(News.Service);
  if (!Service)
    return;
  for (const TargetView &Each : Service->Targets)
    if (Each.Spec.Id == News.Target)
      Service->Gate->adopt(*Each.Gauge, News.Percent / Percent);
}

void GossipLoop::takeNews(const RecordNews &News, const Member &From) {
  if (News.Rev <= this->Context.Records.revision(News.Key))
    return;
  if (News.Text.empty()) {
    this->Context.postSyncTask(
        {SyncTask::Kind::OneRecord, From.Where, From.Domain, News.Key});
    return;
  }
  RecordBatch Batch;
  Batch.SourceDomain = From.Domain;
  importRecordText(this->Context, News.Text, From.Where, Batch);
  this->Context.tryPostUpdate(Batch);
}

void GossipLoop::compareDigests(const GossipMessage &Message) {
  const Instant Now = bootNow();
  const bool NotYet = !this->Context.Snapshots.get()->Configured;
  const bool Differ = Message.RecordsDigest != this->Context.Records.digest();
  if ((Differ || NotYet) && Now >= this->NextRecordSync) {
    this->NextRecordSync =
        Now + (NotYet ? config::GossipAckTimeout : config::RecordSyncPeriod);
    this->Context.postSyncTask(
        {SyncTask::Kind::Records, Message.From.Where, Message.From.Domain, {}});
  }
  if (Message.MembersDigest == this->Members.digest() ||
      Now < this->NextMemberSync)
    return;
  this->NextMemberSync = Now + this->MemberSyncPause;
  this->MemberSyncPause =
      std::min<Duration>(this->MemberSyncPause * 2, config::MemberSyncMost);
  this->Context.postSyncTask(
      {SyncTask::Kind::Members, Message.From.Where, Message.From.Domain, {}});
}

void GossipLoop::takeOrders() {
  while (const auto Order = this->Context.GossipCommands.pop())
    std::visit([this](const auto &Each) { this->obey(Each); }, *Order);
}

void GossipLoop::obey(const BroadcastRecord &Order) {
  for (const Address &To :
       newsRecipients(this->Members.live(), this->Members.self(), Order.Source,
                      this->Dice))
    this->send(To, this->Members.compose(Order.News));
}

void GossipLoop::obey(const SendReport &Order) {
  for (const Address &To : Order.Recipients)
    this->send(To, this->Members.compose(Order.Report));
}

void GossipLoop::obey(const SendGrayEstimate &Order) {
  for (const Address &To : *Order.Recipients)
    this->send(To, this->Members.compose(Order.News));
}

void GossipLoop::obey(const SetSeeds &Order) {
  this->Members.setSeeds(Order.Seeds);
}

void GossipLoop::obey(const SetPlatformUnreachable &Order) {
  this->Members.setBlind(Order.Unreachable);
  // Whoever watches the platform next must not wait for the news to spread.
  for (const SteeringNode &Each : selectWatchers(this->Members.live()))
    if (Each.Where != this->Members.self().Where)
      this->send(Each.Where, this->Members.compose(Ping{}));
}

void GossipLoop::obey(const CrashNews &Order) {
  for (const Address &To : this->Members.sample(config::NewsFanout))
    this->send(To, this->Members.compose(Order));
}

void GossipLoop::obey(const std::vector<Member> &Table) {
  const std::size_t Learned = this->Members.merge(Table, bootNow());
  // Where many start at once, each table knows of others: the next one is asked
  // for soon, until tables tell little.
  if (Learned * config::MemberSyncNewPart >= Table.size())
    this->MemberSyncPause = config::MemberSyncLeast;
}

void GossipLoop::send(const std::vector<OutgoingGossip> &Out) {
  for (const OutgoingGossip &Each : Out)
    this->send(Each.To, Each.Message);
}

void GossipLoop::send(const Address &To, GossipMessage Message) {
  Message.RecordsDigest = this->Context.Records.digest();
  std::string Datagram =
      this->Seal.seal(gossipNotification(encodeGossip(Message)), wallClockMs());
  // News of members gives way to a long record.
  while (Datagram.size() > config::MaxDatagramBytes &&
         !Message.Updates.empty()) {
    Message.Updates.pop_back();
    Datagram = this->Seal.seal(gossipNotification(encodeGossip(Message)),
                               wallClockMs());
  }
  try {
    auto [Found, New] = this->Resolved.try_emplace(To);
    if (New)
      Found->second = Poco::Net::SocketAddress(To.str());
    this->Socket.sendTo(Datagram.data(), static_cast<int>(Datagram.size()),
                        Found->second);
    this->Context.Traffic.BytesSent += Datagram.size();
  } catch (const Poco::Exception &) {
    // A datagram that can't be sent is as good as lost.
  }
}

void GossipLoop::show(Instant Now) {
  const bool Changed = this->Members.version() != this->ShownVersion;
  const bool Suspects = this->Members.suspectVersion() != this->ShownSuspects;
  if (Now < (Changed || Suspects ? this->NextChangeShow : this->NextShow))
    return;
  this->ShownSuspects = this->Members.suspectVersion();
  this->NextShow = Now + ShowPeriod;
  this->NextChangeShow = Now + ChangeShowPeriod;
  auto View = std::make_shared<MembershipView>();
  View->Others = this->Members.members();
  View->Live = this->Members.live();
  View->Watchers = Changed || Suspects || this->ShownVersion == 0
                       ? selectWatchers(View->Live)
                       : this->Context.Members.load()->Watchers;
  View->Stats = this->Members.stats();
  this->Context.Members.store(View);
  if (Changed || this->ShownVersion == 0)
    if (!this->Context.tryPostUpdate(MemberBatch{View->Live}))
      return; // It is tried again with the next view.
  this->ShownVersion = this->Members.version();
}

} // namespace siskinstage
