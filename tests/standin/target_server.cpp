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

constexpr std::size_t MaxBodyBytes = 80U * 1024 * 1024;
constexpr Millis PollInterval{20};
/// Multiplies the cost while a target has been up for less than ColdMs.
constexpr double ColdCostFactor = 8.0;

std::int64_t nowMs() {
  return std::chrono::duration_cast<Millis>(bootNow().time_since_epoch())
      .count();
}

/// Counts a request as in flight for the lifetime of the guard.
class InFlightGuard {
public:
  explicit InFlightGuard(std::atomic<std::uint32_t> &Counter)
      : Counter(Counter), CountAtStart(++Counter) {}
  ~InFlightGuard() { --this->Counter; }
  InFlightGuard(const InFlightGuard &) = delete;
  InFlightGuard &operator=(const InFlightGuard &) = delete;
  /// Requests in flight at the start of this one, including it.
  [[nodiscard]] std::uint32_t countAtStart() const {
    return this->CountAtStart;
  }

private:
  std::atomic<std::uint32_t> &Counter;
  std::uint32_t CountAtStart;
};

double headerNumber(const Poco::Net::HTTPRequest &Head, const char *Name,
                    double Default) {
  const std::string Text = Head.get(Name, "");
  return Text.empty() ? Default : std::strtod(Text.c_str(), nullptr);
}

} // namespace

TargetServer::TargetServer(std::string Endpoint, std::uint32_t Slots,
                           std::uint32_t ConnectionLimit, TargetLedger &Ledger)
    : Endpoint(std::move(Endpoint)), Slots(Slots),
      ConnectionLimit(ConnectionLimit), Ledger(Ledger) {}

void TargetServer::setLeaving(bool Leaving) {
  this->Counts.LeavingSinceMs = Leaving ? nowMs() : 0;
  this->Counts.WorkWhileLeaving = 0;
  this->Behaviour.Leaving = Leaving;
}

std::string TargetServer::statsJson() const {
  const auto Field = [](const char *Name, auto Value) {
    return std::string("\"") + Name + "\":" + std::to_string(Value);
  };
  return "{\"address\":\"" + this->Endpoint + "\"," +
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

bool TargetServer::draw(const std::atomic<double> &Probability) {
  const double Value = Probability.load();
  if (Value <= 0)
    return false;
  thread_local std::minstd_rand Engine(std::random_device{}());
  return std::uniform_real_distribution<double>(0, 1)(Engine) < Value;
}

void TargetServer::crash() {
  ++this->Counts.Crashes;
  ++this->Generation;
  this->Down = true;
}

void TargetServer::run() {
  while (true) {
    this->Down = false;
    this->StartedNs = bootNow().time_since_epoch().count();
    Poco::Net::ServerSocket Socket;
    Socket.bind(Poco::Net::SocketAddress(this->Endpoint), true, false);
    Socket.listen(256);
    this->acceptConnections(Socket);
    Socket.close();
    std::this_thread::sleep_for(Millis(this->Behaviour.DownMs.load()));
  }
}

void TargetServer::acceptConnections(Poco::Net::ServerSocket &Socket) {
  while (!this->Down) {
    try {
      if (!Socket.poll(Poco::Timespan(0, 5000), Poco::Net::Socket::SELECT_READ))
        continue;
      const Poco::Net::StreamSocket Peer = Socket.acceptConnection();
      if (this->Connections >= this->ConnectionLimit)
        continue;
      ++this->Connections;
      const std::uint64_t ConnectionGeneration = this->Generation;
      std::thread([this, Peer, ConnectionGeneration] {
        TcpConnection Connection(Peer);
        this->serveConnection(Connection, ConnectionGeneration);
        --this->Connections;
      }).detach();
    } catch (const Poco::Exception &) {
      std::this_thread::sleep_for(PollInterval);
    }
  }
}

void TargetServer::serveConnection(TcpConnection &Peer,
                                   std::uint64_t ConnectionGeneration) {
  try {
    while (this->serveRequest(Peer, ConnectionGeneration)) {
    }
  } catch (const std::exception &) {
    Peer.abort();
  }
  if (ConnectionGeneration != this->Generation)
    Peer.abort();
}

bool TargetServer::serveRequest(TcpConnection &Peer,
                                std::uint64_t ConnectionGeneration) {
  // Short waits, so that a crash of the target is noticed.
  while (Peer.buffered().empty()) {
    if (ConnectionGeneration != this->Generation)
      return false;
    const auto Filled = Peer.fill(bootNow() + PollInterval);
    if (!Filled && Filled.error().Cause != ConnectionFault::Kind::Timeout)
      return false;
  }
  const Instant Deadline = bootNow() + std::chrono::seconds(10);
  const auto RawHead =
      readHead(Peer, HeadKind::Request, Deadline, std::chrono::seconds(10));
  if (!RawHead)
    return false;
  const Poco::Net::HTTPRequest Head = parseRequest(*RawHead);
  const auto Framing = requestFraming(framingFields(Head));
  if (!Framing)
    return false;
  WorkRequest Request;
  Request.Head = Head;
  Request.Generation = ConnectionGeneration;
  Request.WorkId =
      Request.Head.get("Idempotency-Key", Request.Head.get(WorkHeader, ""));
  auto Body = readWholeBody(Peer, *Framing, MaxBodyBytes, Deadline);
  if (!Body || ConnectionGeneration != this->Generation)
    return false;
  Request.Body = std::move(*Body);
  if (Request.Head.getURI() == "/healthz") {
    ++this->Counts.Probes;
    HTTPResponse Response(HTTPMessage::HTTP_1_1,
                          this->Behaviour.FailHealthChecks
                              ? HTTPResponse::HTTP_INTERNAL_SERVER_ERROR
                              : HTTPResponse::HTTP_OK);
    return this->send(Peer, Response, "ok\n");
  }
  return this->serveWork(Peer, Request);
}

bool TargetServer::send(TcpConnection &Peer, HTTPResponse &Head,
                        const std::string &Body) {
  if (this->Behaviour.Leaving) {
    Head.set("Siskinstage-Leaving", "yes");
    Head.setKeepAlive(false);
  } else {
    Head.setKeepAlive(true);
  }
  if (this->Behaviour.RateLimit > 0)
    Head.set("Siskinstage-Rate-Limit",
             std::to_string(this->Behaviour.RateLimit));
  const std::uint32_t ReportedLoad =
      this->Behaviour.ReportZeroLoad ? 0 : this->InFlight.load();
  Head.set("Siskinstage-In-Flight", std::to_string(ReportedLoad));
  Head.setContentLength64(static_cast<Poco::Int64>(Body.size()));
  const Instant Deadline = bootNow() + std::chrono::seconds(10);
  const auto Sent = Peer.write(headText(Head) + Body, Deadline);
  return Sent.has_value() && !this->Behaviour.Leaving;
}

bool TargetServer::shed(TcpConnection &Peer, const WorkRequest &Request) {
  ++this->Counts.Shed;
  HTTPResponse Response(HTTPMessage::HTTP_1_1,
                        HTTPResponse::HTTP_SERVICE_UNAVAILABLE);
  Response.set("Siskinstage-Outcome", "not-run");
  Response.set("Siskinstage-Request-Id",
               Request.Head.get("Siskinstage-Request-Id", ""));
  if (this->Behaviour.RetryAfter > 0)
    Response.set("Retry-After", std::to_string(this->Behaviour.RetryAfter));
  return this->send(Peer, Response, "busy\n");
}

bool TargetServer::serveWork(TcpConnection &Peer, WorkRequest &Request) {
  this->ArrivalTimes.add(nowMs());
  const InFlightGuard Guard(this->InFlight);
  const bool Busy = Guard.countAtStart() > this->Slots;
  if (Busy || this->draw(this->Behaviour.ShedProbability))
    return this->shed(Peer, Request);
  if (this->Behaviour.Leaving)
    ++this->Counts.WorkWhileLeaving;
  if (this->draw(this->Behaviour.CrashBeforeProbability)) {
    this->crash();
    return false;
  }
  return this->runWork(Peer, Request);
}

bool TargetServer::simulateWork(TcpConnection &Peer,
                                std::uint64_t ConnectionGeneration,
                                double DurationUs) {
  const Instant End = bootNow() + std::chrono::microseconds(
                                      static_cast<std::int64_t>(DurationUs));
  while (timeLeft(End) > Duration::zero()) {
    std::this_thread::sleep_for(
        std::min<Duration>(timeLeft(End), Duration(PollInterval)));
    if (ConnectionGeneration != this->Generation)
      return false;
    if (Peer.peerGone()) {
      ++this->Counts.Cancelled;
      return false;
    }
  }
  return true;
}

bool TargetServer::runWork(TcpConnection &Peer, WorkRequest &Request) {
  const Instant StartedAt = bootNow();
  const double RemainingMs =
      headerNumber(Request.Head, "Siskinstage-Deadline-Ms", 1e9);
  if (RemainingMs <= 0)
    return this->shed(Peer, Request);
  ++this->Counts.Requests;
  this->Counts.LastWorkMs = nowMs();
  this->WorkTimes.add(nowMs());
  this->Ledger.recordRun(Request.WorkId, this->Endpoint);
  if (Request.Head.has(PoisonHeader) ||
      this->draw(this->Behaviour.CrashDuringProbability)) {
    this->crash();
    return false;
  }
  double CostUs =
      headerNumber(Request.Head, CostHeader, 1000) * this->Behaviour.SlowFactor;
  const double UptimeMs =
      static_cast<double>(bootNow().time_since_epoch().count() -
                          this->StartedNs) /
      1e6;
  if (UptimeMs < this->Behaviour.ColdMs)
    CostUs *= ColdCostFactor;
  // Work stops at the deadline, as its result is of no use afterwards.
  const bool ExceedsDeadline = CostUs / 1000 > RemainingMs;
  if (!this->simulateWork(Peer, Request.Generation,
                          ExceedsDeadline ? RemainingMs * 1000 : CostUs))
    return false;
  if (this->draw(this->Behaviour.HangProbability)) {
    const Instant End = StartedAt + std::chrono::seconds(30);
    while (bootNow() < End && !Peer.peerGone() &&
           Request.Generation == this->Generation)
      std::this_thread::sleep_for(PollInterval);
    return false;
  }
  if (this->draw(this->Behaviour.CrashAfterProbability)) {
    this->crash();
    return false;
  }
  if (ExceedsDeadline) {
    HTTPResponse Response(HTTPMessage::HTTP_1_1,
                          HTTPResponse::HTTP_GATEWAY_TIMEOUT);
    return this->send(Peer, Response, "too late\n");
  }
  return this->sendWorkResponse(Peer, Request);
}

bool TargetServer::sendWorkResponse(TcpConnection &Peer,
                                    const WorkRequest &Request) {
  const bool Failed = this->draw(this->Behaviour.FailProbability);
  HTTPResponse Response(HTTPMessage::HTTP_1_1,
                        Failed ? HTTPResponse::HTTP_INTERNAL_SERVER_ERROR
                               : HTTPResponse::HTTP_OK);
  const std::string RequestId = Request.Head.get("Siskinstage-Request-Id", "");
  if (!RequestId.empty())
    Response.set("Siskinstage-Request-Id",
                 this->draw(this->Behaviour.WrongIdProbability)
                     ? RequestId + "x"
                     : RequestId);
  Response.set("Load-Stored-Bytes", std::to_string(Request.Body.size()));
  Response.set("Load-Stored-Hash", payloadHash(Request.Body));
  const auto BodyBytes =
      static_cast<std::size_t>(headerNumber(Request.Head, SizeHeader, 16));
  const std::string Body =
      Failed ? "failed\n"
             : payloadPattern(Request.Head.get(WorkHeader, ""), BodyBytes);
  if (!this->draw(this->Behaviour.TruncateProbability))
    return this->send(Peer, Response, Body);
  Response.setContentLength64(static_cast<Poco::Int64>(Body.size()));
  const Instant Deadline = bootNow() + std::chrono::seconds(10);
  const auto Sent = Peer.write(
      headText(Response) + Body.substr(0, Body.size() / 2), Deadline);
  static_cast<void>(Sent);
  return false;
}

} // namespace siskinstage::standin
