#include "node/platform_client.h"
#include "net/boot_time.h"
#include "net/http_client.h"
#include "net/json_text.h"
#include "node/node_context.h"
#include "node/record_import.h"
#include "node/watcher_role.h"
#include "siskinstage/config.h"

#include <algorithm>

namespace siskinstage {

namespace {

constexpr std::size_t MaxAnswerBytes = 4 * config::MaxRecordBytes;
constexpr std::uint64_t InstanceSeed = 1;

} // namespace

PlatformClient::PlatformClient(NodeContext &Context, std::uint64_t Seed)
    : Context(Context), Seed(Seed) {}

Result<Json::Value> PlatformClient::get(const std::string &Target,
                                        Duration Timeout) {
  const Address &Platform = this->Context.NodeSettings.Platform;
  const auto Answer =
      getOnce(Platform, Target, MaxAnswerBytes, bootNow() + Timeout);
  if (!Answer)
    return tl::unexpected<Error>(Answer.error());
  if (Answer->Head.getStatus() != Poco::Net::HTTPResponse::HTTP_OK)
    return fail(Step::Platform, Platform.str(),
                "status " + std::to_string(Answer->Head.getStatus()));
  return parseJson(Answer->Body, Platform.str());
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
    return fail(Step::Platform, this->Context.NodeSettings.Platform.str(),
                "the answer holds no \"version\" and \"records\"");
  RecordBatch Batch;
  Batch.PlatformComplete = !(*Answer)["more"].asBool();
  for (const Json::Value &Value : List)
    importRecord(this->Context, Value, Batch);
  postUpdate(this->Context, Batch);
  return Version.asUInt64();
}

void PlatformClient::watchRecords() {
  Random Dice(this->Seed);
  std::uint64_t After = 0;
  int Failures = 0;
  // A new node first looks for peers, which spare the platform its reading.
  this->Context.Stop.sleep(config::GossipPeriod);
  while (!this->Context.Stop.stopped()) {
    if (!watcherRank(this->Context)) {
      this->Context.Stop.sleep(config::GossipPeriod);
      continue;
    }
    const auto Version = this->watchOnce(After);
    this->Context.NodeMetrics.countPlatformCall(Version ? "ok" : "failed");
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
  postUpdate(this->Context, InstanceBatch{std::move(*Instances)});
  return {};
}

void PlatformClient::readInstances() {
  Random Dice(this->Seed + InstanceSeed);
  int Failures = 0;
  while (!this->Context.Stop.stopped()) {
    const auto Read = this->readInstancesOnce();
    this->Context.NodeMetrics.countPlatformCall(Read ? "ok" : "failed");
    if (Read) {
      Failures = 0;
      this->Context.Stop.sleep(this->instancePeriod(Dice));
      continue;
    }
    if (Failures == 0)
      logError(LogLevel::Warn, "the instance list can't be read", Read.error());
    ++Failures;
    this->backOff(Failures, Dice);
  }
}

Duration PlatformClient::instancePeriod(Random &Dice) const {
  const std::size_t Live = this->Context.Members.load()->Live.size();
  if (Live <= 1 || watcherRank(this->Context))
    return config::InstanceListPeriod;
  const Duration Period = std::max<Duration>(
      config::InstanceListRest,
      config::InstanceListPerMember * static_cast<std::int64_t>(Live));
  return std::chrono::duration_cast<Duration>(Period * (0.5 + Dice.unit()));
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
