#include "load_worker.h"
#include "net/boot_time.h"
#include "net/load_pattern.h"

#include <cmath>
#include <json/reader.h>
#include <thread>

namespace siskinstage::load {

namespace {

constexpr std::size_t MaxAnswerBytes = 80U * 1024 * 1024;
constexpr std::chrono::milliseconds EntriesTimeout{500};
/// Time beyond the deadline in which the node may still say how it ended.
constexpr std::chrono::milliseconds AnswerGrace{500};

std::string accountName(std::uint32_t Account) {
  return "account-" + std::to_string(Account);
}

} // namespace

std::vector<Arrival> planArrivals(const LoadOptions &Options) {
  Random Dice(Options.Seed);
  std::vector<Arrival> Plan;
  double Seconds = 0;
  while (true) {
    Seconds += -std::log(1.0 - Dice.unit()) / Options.Rate;
    if (Seconds >= Options.Seconds)
      return Plan;
    Arrival Each;
    Each.At = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(Seconds));
    // The spread is centred on the stated cost, on a logarithmic scale.
    Each.CostUs =
        Options.CostUs * std::pow(Options.CostSpread, Dice.unit() - 0.5);
    Each.Account = Dice.below(Options.Accounts);
    Plan.push_back(Each);
  }
}

LoadWorker::LoadWorker(const LoadOptions &Options,
                       const std::vector<Arrival> &Plan,
                       std::atomic<std::size_t> &Next, Instant Start,
                       std::uint64_t Seed)
    : Options(Options), Plan(Plan), Next(Next), Start(Start), Dice(Seed) {}

void LoadWorker::run() {
  while (true) {
    const std::size_t Index = this->Next.fetch_add(1);
    if (Index >= this->Plan.size())
      return;
    std::this_thread::sleep_for(timeLeft(this->Start + this->Plan[Index].At));
    this->serve(Index);
  }
}

std::optional<LoadWorker::Entries>
LoadWorker::askEntries(std::uint32_t Account) {
  const auto Count = static_cast<std::uint32_t>(this->Options.Nodes.size());
  const Address &Node = this->Options.Nodes[this->Dice.below(Count)];
  const std::string Target =
      "/.siskinstage/v1/entries?service=" + this->Options.Service +
      "&account=" + accountName(Account);
  const auto Answer = getOnNewConnection(Node, Target, MaxAnswerBytes,
                                         bootNow() + EntriesTimeout);
  if (!Answer || Answer->Head.getStatus() != 200)
    return std::nullopt;
  Json::Value Root;
  if (!Json::Reader().parse(Answer->Body, Root))
    return std::nullopt;
  Entries Read;
  for (const Json::Value &Entry : Root["entries"])
    Read.Addresses.emplace_back(Entry["address"].asString());
  Read.KeyPrefix = Root["key_prefix"].asString();
  Read.Until = bootNow() + Millis(Root["ttl_ms"].asInt64());
  return Read;
}

const LoadWorker::Entries *LoadWorker::entries(std::uint32_t Account) {
  constexpr int Tries = 5;
  Entries &Held = this->Known[Account];
  if (!this->Options.Direct.empty()) {
    Held.Addresses = this->Options.Direct;
    return &Held;
  }
  if (!Held.Addresses.empty() && bootNow() < Held.Until)
    return &Held;
  for (int I = 0; I < Tries; ++I) {
    auto Read = this->askEntries(Account);
    if (!Read || Read->Addresses.empty())
      continue;
    Held = std::move(*Read);
    return &Held;
  }
  return Held.Addresses.empty() ? nullptr : &Held;
}

void LoadWorker::serve(std::size_t Index) {
  const Arrival &Due = this->Plan[Index];
  LoadSample Sample;
  Sample.Work = this->Options.WorkPrefix + std::to_string(Index);
  Sample.Arrival = Due.At;
  const Entries *Using = this->entries(Due.Account);
  Poco::Net::HTTPRequest Request(this->Options.Method, this->Options.Path,
                                 Poco::Net::HTTPMessage::HTTP_1_1);
  Request.setHost(this->Options.Host);
  Request.set(WorkHeader, Sample.Work);
  Request.set(CostHeader, std::to_string(Due.CostUs));
  Request.set(SizeHeader, std::to_string(this->Options.AnswerBytes));
  Request.set("Siskinstage-Account", accountName(Due.Account));
  Request.set("Siskinstage-Deadline-Ms",
              std::to_string(this->Options.Deadline.count()));
  if (this->Options.Poison)
    Request.set(PoisonHeader, "yes");
  if (this->Options.Keyed && Using != nullptr) {
    Sample.Work = Using->KeyPrefix + "." + Sample.Work;
    Request.set("Idempotency-Key", Sample.Work);
    Request.set(WorkHeader, Sample.Work);
  }
  const std::string Body =
      payloadPattern(Sample.Work + "body", this->Options.BodyBytes);
  if (!Body.empty() || this->Options.Method == "POST")
    Request.setContentLength64(static_cast<Poco::Int64>(Body.size()));

  if (Using != nullptr)
    this->tryAll(*Using, Index, Request, Body, Sample);
  if (Sample.How == Ending::Broken || this->NoConnection)
    this->Known[Due.Account].Until = Instant{};
  Sample.Latency = bootNow() - (this->Start + Due.At);
  this->Samples.push_back(std::move(Sample));
}

void LoadWorker::tryAll(const Entries &Using, std::size_t Index,
                        const Poco::Net::HTTPRequest &Request,
                        const std::string &Body, LoadSample &Sample) {
  const auto Count = static_cast<std::uint32_t>(Using.Addresses.size());
  // The first address owns the key; further tries go through the others.
  std::uint32_t At =
      this->Options.Direct.empty() ? 0 : static_cast<std::uint32_t>(Index);
  std::uint32_t Unreached = 0;
  std::uint32_t Resent = 0;
  while (true) {
    const Address Where = Using.Addresses[At++ % Count];
    Sample.How = this->tryOnce(Where, Request, Body, Sample);
    // Without a connection nothing was run: on to the next address.
    if (this->NoConnection && ++Unreached < Count)
      continue;
    Sample.Tries = Resent + 1;
    const bool Open =
        Sample.How == Ending::Broken || Sample.How == Ending::Unknown;
    if (!Open || Resent >= this->Options.Resends)
      return;
    ++Resent;
    std::this_thread::sleep_for(this->Options.ResendAfter);
  }
}

ReadResult<HttpResponse> LoadWorker::send(const Address &Where,
                                          const Poco::Net::HTTPRequest &Request,
                                          const std::string &Body) {
  const Instant Limit = bootNow() + this->Options.Deadline + AnswerGrace;
  std::unique_ptr<Wire> &Connection = this->Connections[Where];
  if (Connection && Connection->stale())
    Connection.reset();
  if (!Connection) {
    auto New = Wire::connect(Where, Limit);
    this->NoConnection = !New;
    if (!New)
      return tl::unexpected<ReadFault>(New.error());
    Connection = std::make_unique<Wire>(std::move(*New));
  }
  auto Answer = exchange(*Connection, Request, Body, MaxAnswerBytes, Limit);
  if (!Answer || !Answer->Head.getKeepAlive())
    Connection.reset();
  return Answer;
}

Ending LoadWorker::tryOnce(const Address &Where,
                           const Poco::Net::HTTPRequest &Request,
                           const std::string &Body, LoadSample &Sample) {
  this->NoConnection = false;
  const auto Answer = this->send(Where, Request, Body);
  if (!Answer)
    return Ending::Broken;
  Sample.Status = Answer->Head.getStatus();
  return this->judge(*Answer, Body, Sample);
}

Ending LoadWorker::judge(const HttpResponse &Answer, const std::string &Body,
                         const LoadSample &Sample) const {
  const std::string Outcome = Answer.Head.get("Siskinstage-Outcome", "");
  if (Outcome == "not-run")
    return Ending::NotRun;
  if (Outcome == "unknown")
    return Ending::Unknown;
  if (Answer.Head.getStatus() >= 400)
    return Ending::Failed;
  const bool Right =
      Answer.Body == payloadPattern(Sample.Work, this->Options.AnswerBytes) &&
      Answer.Head.get("Load-Stored-Hash", "") == payloadHash(Body);
  return Right ? Ending::Answered : Ending::Wrong;
}

} // namespace siskinstage::load
