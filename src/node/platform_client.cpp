#include "node/platform_client.h"
#include "core/record_parser.h"
#include "net/boot_time.h"
#include "net/http_client.h"
#include "node/node_context.h"
#include "siskinstage/config.h"

#include <algorithm>
#include <json/reader.h>
#include <memory>

namespace siskinstage {

namespace {

constexpr std::size_t MaxAnswerBytes = 4 * config::MaxRecordBytes;
constexpr std::uint64_t InstanceSeed = 1;

Result<Json::Value> parsedJson(const std::string &Text,
                               const std::string &Peer) {
  const std::unique_ptr<Json::CharReader> Reader(
      Json::CharReaderBuilder().newCharReader());
  Json::Value Root;
  std::string Faults;
  try {
    if (Reader->parse(Text.data(), Text.data() + Text.size(), &Root, &Faults))
      return Root;
  } catch (const Json::Exception &Fault) {
    Faults = Fault.what();
  }
  return fail(Step::Platform, Peer, "the answer is not JSON: " + Faults);
}

} // namespace

PlatformClient::PlatformClient(NodeContext &Context, std::uint64_t Seed)
    : Context(Context), Seed(Seed) {}

Result<Json::Value> PlatformClient::get(const std::string &Target,
                                        Duration Timeout) {
  const Address &Platform = this->Context.Set.Platform;
  const auto Answer =
      getOnce(Platform, Target, MaxAnswerBytes, bootNow() + Timeout);
  if (!Answer)
    return tl::unexpected<Error>(Answer.error());
  if (Answer->Head.getStatus() != Poco::Net::HTTPResponse::HTTP_OK)
    return fail(Step::Platform, Platform.str(),
                "status " + std::to_string(Answer->Head.getStatus()));
  return parsedJson(Answer->Body, Platform.str());
}

void PlatformClient::push(const ConfigUpdate &Update) {
  // Configuration is never dropped: this thread can wait for a place.
  while (!this->Context.Updates.push(Update))
    if (this->Context.Stop.sleep(config::DecisionPeriod))
      return;
}

void PlatformClient::readInto(const Json::Value &Value, RecordBatch &Batch) {
  RecordReading Reading = readRecord(Value);
  for (const std::string &Warning : Reading.Warnings)
    logEvent(LogLevel::Warn, "record " + Reading.Label + ": " + Warning);
  for (const FieldFault &Fault : Reading.Faults)
    logEvent(LogLevel::Error,
             "record " + Reading.Label + " is refused: " + Fault.text(),
             {{"step", stepName(Step::Records)}});
  if (Reading.Accepted)
    Batch.Records.push_back(std::move(*Reading.Accepted));
  else
    this->Context.Measured.recordRefused();
}

Result<std::uint64_t> PlatformClient::watchOnce(std::uint64_t After) {
  const auto WaitMs = std::to_string(config::WatchWait.count());
  const auto Answer = this->get(
      "/v1/records?after=" + std::to_string(After) + "&wait_ms=" + WaitMs,
      config::WatchWait + config::PlatformCallTimeout);
  if (!Answer)
    return tl::unexpected<Error>(Answer.error());
  const Json::Value &Version = (*Answer)["version"];
  const Json::Value &List = (*Answer)["records"];
  if (!Answer->isObject() || !Version.isUInt64() || !List.isArray())
    return fail(Step::Platform, this->Context.Set.Platform.str(),
                "the answer holds no \"version\" and \"records\"");
  RecordBatch Batch;
  Batch.Complete = !(*Answer)["more"].asBool();
  for (const Json::Value &Value : List)
    this->readInto(Value, Batch);
  this->push(Batch);
  return Version.asUInt64();
}

void PlatformClient::watchRecords() {
  Random Dice(this->Seed);
  std::uint64_t After = 0;
  int Failures = 0;
  while (!this->Context.Stop.stopped()) {
    const auto Version = this->watchOnce(After);
    this->Context.Measured.platformCall(Version ? "ok" : "failed");
    if (Version) {
      After = *Version;
      Failures = 0;
      continue;
    }
    if (Failures == 0)
      logError(LogLevel::Warn, "the records can't be read", Version.error());
    ++Failures;
    this->backOff(Failures, Dice);
  }
}

Result<void> PlatformClient::readInstancesOnce() {
  const auto Answer = this->get("/v1/instances", config::PlatformCallTimeout);
  if (!Answer)
    return tl::unexpected<Error>(Answer.error());
  std::vector<std::string> Warnings;
  auto Instances = readInstanceList(*Answer, Warnings);
  for (const std::string &Warning : Warnings)
    logEvent(LogLevel::Warn, "instance list: " + Warning);
  if (!Instances)
    return tl::unexpected<Error>(Instances.error());
  this->push(InstanceBatch{std::move(*Instances)});
  return {};
}

void PlatformClient::readInstances() {
  Random Dice(this->Seed + InstanceSeed);
  int Failures = 0;
  while (!this->Context.Stop.stopped()) {
    const auto Read = this->readInstancesOnce();
    this->Context.Measured.platformCall(Read ? "ok" : "failed");
    if (Read) {
      Failures = 0;
      this->Context.Stop.sleep(config::InstanceListPeriod);
      continue;
    }
    if (Failures == 0)
      logError(LogLevel::Warn, "the instance list can't be read", Read.error());
    ++Failures;
    this->backOff(Failures, Dice);
  }
}

void PlatformClient::backOff(int Failures, Random &Dice) {
  constexpr int MaxDoublings = 8;
  const Duration Longest = std::min<Duration>(
      config::PlatformRetryBase * (1 << std::min(Failures, MaxDoublings)),
      config::PlatformRetryCap);
  this->Context.Stop.sleep(std::chrono::duration_cast<Duration>(
      Longest * std::max(Dice.unit(), 0.1)));
}

} // namespace siskinstage
