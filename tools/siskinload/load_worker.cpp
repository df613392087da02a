#include "load_worker.h"
#include "net/boot_time.h"
#include "net/load_pattern.h"

#include <cmath>
#include <json/reader.h>
#include <thread>

namespace siskinstage::load {

namespace {

constexpr std::size_t MaxResponseBytes = 80U * 1024 * 1024;
constexpr std::chrono::milliseconds EntriesTimeout{500};
/// Time after the deadline in which the node can still report the outcome.
constexpr std::chrono::milliseconds ResponseGrace{500};

std::string accountName(std::uint32_t Account) {
  return "account-" + std::to_string(Account);
}

} // namespace

std::vector<Arrival> planArrivals(const LoadOptions &Options) {
  Random RandomSource(Options.Seed);
  std::vector<Arrival> Plan;
  double Seconds = 0;
  while (true) {
    Seconds += -std::log(1.0 - RandomSource.unit()) / Options.Rate;
    if (Seconds >= Options.Seconds)
      return Plan;
    Arrival Current;
    Current.Offset = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(Seconds));
    // The median of the log-uniform distribution is Options.CostUs.
    Current.CostUs = Options.CostUs *
                     std::pow(Options.CostSpread, RandomSource.unit() - 0.5);
    Current.Account = RandomSource.below(Options.Accounts);
    Plan.push_back(Current);
  }
}

LoadWorker::LoadWorker(const LoadOptions &Options,
                       const std::vector<Arrival> &Plan,
                       std::atomic<std::size_t> &NextIndex, Instant Start,
                       std::uint64_t Seed)
    : Options(Options), Plan(Plan), NextIndex(NextIndex), Start(Start),
      RandomSource(Seed) {}

void LoadWorker::run() {
  while (true) {
    const std::size_t Index = this->NextIndex.fetch_add(1);
    if (Index >= this->Plan.size())
      return;
    std::this_thread::sleep_for(
        timeLeft(this->Start + this->Plan[Index].Offset));
    this->executeArrival(Index);
  }
}

std::optional<LoadWorker::EntryList>
LoadWorker::fetchEntries(std::uint32_t Account) {
  const auto Count = static_cast<std::uint32_t>(this->Options.Nodes.size());
  const Address &Node = this->Options.Nodes[this->RandomSource.below(Count)];
  const std::string RequestTarget =
      "/.siskinstage/v1/entries?service=" + this->Options.Service +
      "&account=" + accountName(Account);
  const auto Response = getOnNewConnection(
      Node, RequestTarget, MaxResponseBytes, bootNow() + EntriesTimeout);
  if (!Response || Response->Head.getStatus() != 200)
    return std::nullopt;
  Json::Value Root;
  if (!Json::Reader().parse(Response->Body, Root))
    return std::nullopt;
  EntryList Fetched;
  for (const Json::Value &Entry : Root["entries"])
    Fetched.Addresses.emplace_back(Entry["address"].asString());
  Fetched.KeyPrefix = Root["key_prefix"].asString();
  Fetched.ValidUntil = bootNow() + Millis(Root["ttl_ms"].asInt64());
  return Fetched;
}

const LoadWorker::EntryList *LoadWorker::entriesFor(std::uint32_t Account) {
  constexpr int MaxFetches = 5;
  EntryList &Cached = this->EntriesByAccount[Account];
  if (!this->Options.Direct.empty()) {
    Cached.Addresses = this->Options.Direct;
    return &Cached;
  }
  if (!Cached.Addresses.empty() && bootNow() < Cached.ValidUntil)
    return &Cached;
  for (int I = 0; I < MaxFetches; ++I) {
    auto Fetched = this->fetchEntries(Account);
    if (!Fetched || Fetched->Addresses.empty())
      continue;
    Cached = std::move(*Fetched);
    return &Cached;
  }
  return Cached.Addresses.empty() ? nullptr : &Cached;
}

void LoadWorker::executeArrival(std::size_t Index) {
  const Arrival &Scheduled = this->Plan[Index];
  LoadSample Sample;
  Sample.WorkId = this->Options.WorkPrefix + std::to_string(Index);
  Sample.Arrival = Scheduled.Offset;
  const EntryList *Entries = this->entriesFor(Scheduled.Account);
  Poco::Net::HTTPRequest Request(this->Options.Method, this->Options.Path,
                                 Poco::Net::HTTPMessage::HTTP_1_1);
  Request.setHost(this->Options.Host);
  Request.set(WorkHeader, Sample.WorkId);
  Request.set(CostHeader, std::to_string(Scheduled.CostUs));
  Request.set(SizeHeader, std::to_string(this->Options.ResponseBytes));
  Request.set("Siskinstage-Account", accountName(Scheduled.Account));
  Request.set("Siskinstage-Deadline-Ms",
              std::to_string(this->Options.Deadline.count()));
  if (this->Options.Poison)
    Request.set(PoisonHeader, "yes");
  if (this->Options.SendKeys && Entries != nullptr) {
    Sample.WorkId = Entries->KeyPrefix + "." + Sample.WorkId;
    Request.set("Idempotency-Key", Sample.WorkId);
    Request.set(WorkHeader, Sample.WorkId);
  }
  const std::string Body =
      payloadPattern(Sample.WorkId + "body", this->Options.BodyBytes);
  if (!Body.empty() || this->Options.Method == "POST")
    Request.setContentLength64(static_cast<Poco::Int64>(Body.size()));

  if (Entries != nullptr)
    this->sendWithResends(*Entries, Index, Request, Body, Sample);
  if (Sample.FinalOutcome == RequestOutcome::Broken || this->ConnectFailed)
    this->EntriesByAccount[Scheduled.Account].ValidUntil = Instant{};
  Sample.Latency = bootNow() - (this->Start + Scheduled.Offset);
  this->Samples.push_back(std::move(Sample));
}

void LoadWorker::sendWithResends(const EntryList &Entries, std::size_t Index,
                                 const Poco::Net::HTTPRequest &Request,
                                 const std::string &Body, LoadSample &Sample) {
  const auto Count = static_cast<std::uint32_t>(Entries.Addresses.size());
  // The node at the first address owns the idempotency key; resends go to the
  // other addresses.
  std::uint32_t EndpointIndex =
      this->Options.Direct.empty() ? 0 : static_cast<std::uint32_t>(Index);
  std::uint32_t FailedConnects = 0;
  std::uint32_t ResendCount = 0;
  while (true) {
    const Address Endpoint = Entries.Addresses[EndpointIndex++ % Count];
    Sample.FinalOutcome = this->attempt(Endpoint, Request, Body, Sample);
    // Without a connection the request was not run, so the next address is
    // tried at once.
    if (this->ConnectFailed && ++FailedConnects < Count)
      continue;
    Sample.Attempts = ResendCount + 1;
    const bool Unresolved = Sample.FinalOutcome == RequestOutcome::Broken ||
                            Sample.FinalOutcome == RequestOutcome::Unknown;
    if (!Unresolved || ResendCount >= this->Options.Resends)
      return;
    ++ResendCount;
    std::this_thread::sleep_for(this->Options.ResendAfter);
  }
}

ReadResult<HttpResponse> LoadWorker::send(const Address &Endpoint,
                                          const Poco::Net::HTTPRequest &Request,
                                          const std::string &Body) {
  const Instant Deadline = bootNow() + this->Options.Deadline + ResponseGrace;
  std::unique_ptr<TcpConnection> &Connection = this->Connections[Endpoint];
  if (Connection && Connection->hasInput())
    Connection.reset();
  if (!Connection) {
    auto Connected = TcpConnection::connect(Endpoint, Deadline);
    this->ConnectFailed = !Connected;
    if (!Connected)
      return tl::unexpected<ReadFault>(Connected.error());
    Connection = std::make_unique<TcpConnection>(std::move(*Connected));
  }
  auto Response =
      exchange(*Connection, Request, Body, MaxResponseBytes, Deadline);
  if (!Response || !Response->Head.getKeepAlive())
    Connection.reset();
  return Response;
}

RequestOutcome LoadWorker::attempt(const Address &Endpoint,
                                   const Poco::Net::HTTPRequest &Request,
                                   const std::string &Body,
                                   LoadSample &Sample) {
  this->ConnectFailed = false;
  const auto Response = this->send(Endpoint, Request, Body);
  if (!Response)
    return RequestOutcome::Broken;
  Sample.Status = Response->Head.getStatus();
  return this->classify(*Response, Body, Sample);
}

RequestOutcome LoadWorker::classify(const HttpResponse &Response,
                                    const std::string &Body,
                                    const LoadSample &Sample) const {
  const std::string ReportedOutcome =
      Response.Head.get("Siskinstage-Outcome", "");
  if (ReportedOutcome == "not-run")
    return RequestOutcome::NotRun;
  if (ReportedOutcome == "unknown")
    return RequestOutcome::Unknown;
  if (Response.Head.getStatus() >= 400)
    return RequestOutcome::Failed;
  const bool IsCorrect =
      Response.Body ==
          payloadPattern(Sample.WorkId, this->Options.ResponseBytes) &&
      Response.Head.get("Load-Stored-Hash", "") == payloadHash(Body);
  return IsCorrect ? RequestOutcome::Answered : RequestOutcome::Wrong;
}

} // namespace siskinstage::load
