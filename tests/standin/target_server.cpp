#include "standin/target_server.h"
#include "net/boot_time.h"
#include "net/load_pattern.h"

#include <Poco/Net/NetException.h>
#include <algorithm>
#include <cstdlib>
#include <pthread.h>
#include <random>
#include <thread>
#include <utility>

namespace siskinstage::standin {

namespace {

using Poco::Net::HTTPMessage;
using Poco::Net::HTTPResponse;

constexpr std::size_t MaxBody = 80U * 1024 * 1024;
constexpr Millis WaitSlice{20};
constexpr double ColdFactor = 8.0;

std::int64_t nowMs() {
  return std::chrono::duration_cast<Millis>(bootNow().time_since_epoch())
      .count();
}

/// Counts a request as in flight for as long as it lives.
class SlotHold {
public:
  explicit SlotHold(std::atomic<std::uint32_t> &Count)
      : Count(Count), Number(++Count) {}
  ~SlotHold() { --this->Count; }
  SlotHold(const SlotHold &) = delete;
  SlotHold &operator=(const SlotHold &) = delete;
  [[nodiscard]] std::uint32_t number() const { return this->Number; }

private:
  std::atomic<std::uint32_t> &Count;
  std::uint32_t Number;
};

double headerNumber(const Poco::Net::HTTPRequest &Head, const char *Name,
                    double Default) {
  const std::string Text = Head.get(Name, "");
  return Text.empty() ? Default : std::strtod(Text.c_str(), nullptr);
}

} // namespace

TargetServer::TargetServer(std::string Where, std::uint32_t Slots,
                           std::uint32_t Limit, TargetLedger &Ledger)
    : Where(std::move(Where)), Slots(Slots), ConnectionLimit(Limit),
      Ledger(Ledger) {}

void TargetServer::setLeaving(bool Leaving) {
  this->Counts.LeavingSinceMs = Leaving ? nowMs() : 0;
  this->Counts.WorkWhileLeaving = 0;
  this->Behaviour.Leaving = Leaving;
}

std::string TargetServer::statsText() const {
  const auto Field = [](const char *Name, auto Value) {
    return std::string("\"") + Name + "\":" + std::to_string(Value);
  };
  return "{\"address\":\"" + this->Where + "\"," +
         Field("requests", this->Counts.Requests.load()) + "," +
         Field("shed", this->Counts.Shed.load()) + "," +
         Field("cancelled", this->Counts.Cancelled.load()) + "," +
         Field("crashes", this->Counts.Crashes.load()) + "," +
         Field("probes", this->Counts.Probes.load()) + "," +
         Field("work_while_leaving", this->Counts.WorkWhileLeaving.load()) +
         "," + Field("last_work_ms", this->Counts.LastWorkMs.load()) + "," +
         Field("leaving_since_ms", this->Counts.LeavingSinceMs.load()) + "," +
         Field("now_ms", nowMs()) + "," +
         Field("connections", this->Connections.load()) + "," +
         Field("in_flight", this->InFlight.load()) + "}";
}

std::string TargetServer::takeWorkTimes() {
  const std::lock_guard<std::mutex> Guard(this->TimesLock);
  std::string Text = "[";
  for (const std::int64_t Time : this->WorkTimes)
    Text += (Text.size() > 1 ? "," : "") + std::to_string(Time);
  this->WorkTimes.clear();
  return Text + "]";
}

bool TargetServer::hits(const std::atomic<double> &Share) {
  const double Value = Share.load();
  if (Value <= 0)
    return false;
  thread_local std::minstd_rand Engine(std::random_device{}());
  return std::uniform_real_distribution<double>(0, 1)(Engine) < Value;
}

void TargetServer::crash() {
  ++this->Counts.Crashes;
  ++this->Life;
  this->Down = true;
}

void TargetServer::run() {
  while (true) {
    this->Down = false;
    this->StartedNs = bootNow().time_since_epoch().count();
    Poco::Net::ServerSocket Socket;
    Socket.bind(Poco::Net::SocketAddress(this->Where), true, false);
    Socket.listen(256);
    this->accept(Socket);
    Socket.close();
    std::this_thread::sleep_for(Millis(this->Behaviour.DownMs.load()));
  }
}

void TargetServer::accept(Poco::Net::ServerSocket &Socket) {
  while (!this->Down) {
    try {
      if (!Socket.poll(Poco::Timespan(0, 5000), Poco::Net::Socket::SELECT_READ))
        continue;
      const Poco::Net::StreamSocket Peer = Socket.acceptConnection();
      if (this->Connections >= this->ConnectionLimit)
        continue;
      ++this->Connections;
      const std::uint64_t OwnLife = this->Life;
      std::thread([this, Peer, OwnLife] {
        Wire Connection(Peer);
        this->serveConnection(Connection, OwnLife);
        --this->Connections;
      }).detach();
    } catch (const Poco::Exception &) {
      std::this_thread::sleep_for(WaitSlice);
    }
  }
}

void TargetServer::serveConnection(Wire &Peer, std::uint64_t OwnLife) {
  try {
    while (this->serveOne(Peer, OwnLife)) {
    }
  } catch (const std::exception &) {
    Peer.abort();
  }
  if (OwnLife != this->Life)
    Peer.abort();
}

bool TargetServer::serveOne(Wire &Peer, std::uint64_t OwnLife) {
  // Looks up now and then, to see a crash.
  while (Peer.buffered().empty()) {
    if (OwnLife != this->Life)
      return false;
    const auto Filled = Peer.fill(bootNow() + WaitSlice);
    if (!Filled && Filled.error().What != WireFault::Kind::Timeout)
      return false;
  }
  const Instant Limit = bootNow() + std::chrono::seconds(10);
  const auto Lines =
      readHead(Peer, HeadKind::Request, Limit, std::chrono::seconds(10));
  if (!Lines)
    return false;
  auto Head = parseRequest(*Lines);
  if (!Head)
    return false;
  const auto Framing = requestFraming(framingFields(*Head));
  if (!Framing)
    return false;
  Work Asked;
  Asked.Head = *Head;
  Asked.Life = OwnLife;
  Asked.Name =
      Asked.Head.get("Idempotency-Key", Asked.Head.get(WorkHeader, ""));
  auto Body = readWholeBody(Peer, *Framing, MaxBody, Limit);
  if (!Body || OwnLife != this->Life)
    return false;
  Asked.Body = std::move(*Body);
  if (Asked.Head.getURI() == "/healthz") {
    ++this->Counts.Probes;
    HTTPResponse Answer(HTTPMessage::HTTP_1_1,
                        this->Behaviour.HealthFails
                            ? HTTPResponse::HTTP_INTERNAL_SERVER_ERROR
                            : HTTPResponse::HTTP_OK);
    return this->send(Peer, Answer, "ok\n");
  }
  return this->serveWork(Peer, Asked);
}

bool TargetServer::send(Wire &Peer, HTTPResponse &Head,
                        const std::string &Body) {
  if (this->Behaviour.Leaving) {
    Head.set("Siskinstage-Leaving", "yes");
    Head.setKeepAlive(false);
  } else {
    Head.setKeepAlive(true);
  }
  const std::uint32_t Load =
      this->Behaviour.LoadLies ? 0 : this->InFlight.load();
  Head.set("Siskinstage-In-Flight", std::to_string(Load));
  Head.setContentLength64(static_cast<Poco::Int64>(Body.size()));
  const Instant Limit = bootNow() + std::chrono::seconds(10);
  const auto Sent = Peer.write(headText(Head) + Body, Limit);
  return Sent.has_value() && !this->Behaviour.Leaving;
}

bool TargetServer::refuse(Wire &Peer, const Work &Asked) {
  ++this->Counts.Shed;
  HTTPResponse Answer(HTTPMessage::HTTP_1_1,
                      HTTPResponse::HTTP_SERVICE_UNAVAILABLE);
  Answer.set("Siskinstage-Outcome", "not-run");
  Answer.set("Siskinstage-Request-Id",
             Asked.Head.get("Siskinstage-Request-Id", ""));
  return this->send(Peer, Answer, "busy\n");
}

bool TargetServer::serveWork(Wire &Peer, Work &Asked) {
  const SlotHold Slot(this->InFlight);
  const bool Busy = Slot.number() > this->Slots;
  if (Busy || this->hits(this->Behaviour.ShedShare))
    return this->refuse(Peer, Asked);
  if (this->Behaviour.Leaving)
    ++this->Counts.WorkWhileLeaving;
  if (this->hits(this->Behaviour.CrashBefore)) {
    this->crash();
    return false;
  }
  return this->runWork(Peer, Asked);
}

bool TargetServer::pause(Wire &Peer, std::uint64_t OwnLife, double Micros) {
  const Instant End =
      bootNow() + std::chrono::microseconds(static_cast<std::int64_t>(Micros));
  while (timeLeft(End) > Duration::zero()) {
    std::this_thread::sleep_for(
        std::min<Duration>(timeLeft(End), Duration(WaitSlice)));
    if (OwnLife != this->Life)
      return false;
    if (Peer.peerGone()) {
      ++this->Counts.Cancelled;
      return false;
    }
  }
  return true;
}

bool TargetServer::runWork(Wire &Peer, Work &Asked) {
  const Instant Started = bootNow();
  const double LeftMs =
      headerNumber(Asked.Head, "Siskinstage-Deadline-Ms", 1e9);
  if (LeftMs <= 0)
    return this->refuse(Peer, Asked);
  ++this->Counts.Requests;
  this->Counts.LastWorkMs = nowMs();
  {
    const std::lock_guard<std::mutex> Guard(this->TimesLock);
    this->WorkTimes.push_back(nowMs());
  }
  this->Ledger.begin(Asked.Name, this->Where);
  if (Asked.Head.has(PoisonHeader) || this->hits(this->Behaviour.CrashDuring)) {
    this->crash();
    return false;
  }
  double Cost =
      headerNumber(Asked.Head, CostHeader, 1000) * this->Behaviour.SlowFactor;
  const double AgeMs =
      static_cast<double>(bootNow().time_since_epoch().count() -
                          this->StartedNs) /
      1e6;
  if (AgeMs < this->Behaviour.ColdMs)
    Cost *= ColdFactor;
  // The deadline is enforced: work that can't be of use any more stops.
  const bool TooLong = Cost / 1000 > LeftMs;
  if (!this->pause(Peer, Asked.Life, TooLong ? LeftMs * 1000 : Cost))
    return false;
  if (this->hits(this->Behaviour.SilentShare)) {
    const Instant End = Started + std::chrono::seconds(30);
    while (bootNow() < End && !Peer.peerGone() && Asked.Life == this->Life)
      std::this_thread::sleep_for(WaitSlice);
    return false;
  }
  if (this->hits(this->Behaviour.CrashAfter)) {
    this->crash();
    return false;
  }
  if (TooLong) {
    HTTPResponse Late(HTTPMessage::HTTP_1_1,
                      HTTPResponse::HTTP_GATEWAY_TIMEOUT);
    return this->send(Peer, Late, "too late\n");
  }
  return this->answerWork(Peer, Asked);
}

bool TargetServer::answerWork(Wire &Peer, const Work &Asked) {
  const bool Fails = this->hits(this->Behaviour.FailShare);
  HTTPResponse Answer(HTTPMessage::HTTP_1_1,
                      Fails ? HTTPResponse::HTTP_INTERNAL_SERVER_ERROR
                            : HTTPResponse::HTTP_OK);
  const std::string Id = Asked.Head.get("Siskinstage-Request-Id", "");
  if (!Id.empty())
    Answer.set("Siskinstage-Request-Id",
               this->hits(this->Behaviour.WrongId) ? Id + "x" : Id);
  Answer.set("Load-Stored-Bytes", std::to_string(Asked.Body.size()));
  Answer.set("Load-Stored-Hash", payloadHash(Asked.Body));
  const auto Bytes =
      static_cast<std::size_t>(headerNumber(Asked.Head, SizeHeader, 16));
  const std::string Body =
      Fails ? "failed\n"
            : payloadPattern(Asked.Head.get(WorkHeader, ""), Bytes);
  if (!this->hits(this->Behaviour.CutShare))
    return this->send(Peer, Answer, Body);
  Answer.setContentLength64(static_cast<Poco::Int64>(Body.size()));
  const Instant Limit = bootNow() + std::chrono::seconds(10);
  const auto Sent =
      Peer.write(headText(Answer) + Body.substr(0, Body.size() / 2), Limit);
  static_cast<void>(Sent);
  return false;
}

} // namespace siskinstage::standin
