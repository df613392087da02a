#include "node/records/platform_client.h"
#include "net/boot_time.h"
#include "net/http_client.h"
#include "net/json_text.h"
#include "node/fleet/watcher_role.h"
#include "node/node_context.h"
#include "node/records/record_import.h"
#include "siskinstage/config.h"

#include <algorithm>

namespace siskinstage {

namespace {

constexpr std::size_t MaxResponseBytes = 4 * config::MaxRecordBytes;
constexpr std::uint64_t InstanceSeedOffset = 1;

} // namespace

PlatformClient::PlatformClient(NodeContext &Context, std::uint64_t Seed)
    : Context(Context), Seed(Seed) {}

Result<Json::Value> PlatformClient::get(const std::string &Target,
                                        Duration Timeout) {
  const Address &Platform = this->Context.NodeSettings.Platform;
  const auto Response = getOnNewConnection(Platform, Target, MaxResponseBytes,
                                           bootNow() + Timeout);
  if (!Response)
    return tl::unexpected<Error>(Response.error());
  if (Response->Head.getStatus() != Poco::Net::HTTPResponse::HTTP_OK)
    return fail(Step::Platform, Platform.str(),
                "status " + std::to_string(Response->Head.getStatus()));
  return parseJson(Response->Body, Platform.str());
}

Result<std::uint64_t> PlatformClient::watchOnce(std::uint64_t After) {
  const auto WaitMs = std::to_string(config::WatchLongPollTime.count());
  const auto Response = this->get(
      "/v1/records?after=" + std::to_string(After) + "&wait_ms=" + WaitMs,
      config::WatchLongPollTime + config::PlatformCallTimeout);
  if (!Response)
    return tl::unexpected<Error>(Response.error());
  const Json::Value &Version = (*Response)["version"];
  const Json::Value &List = (*Response)["records"];
  if (!Response->isObject() || !Version.isUInt64() || !List.isArray())
    return fail(Step::Platform, this->Context.NodeSettings.Platform.str(),
                "the response lacks \"version\" or \"records\"");
  RecordBatch Batch;
  Batch.PlatformComplete = !(*Response)["more"].asBool();
  for (const Json::Value &Value : List)
    importRecord(this->Context, Value, Batch);
  postUpdate(this->Context, Batch);
  return Version.asUInt64();
}

void PlatformClient::watchRecords() {
  Random Generator(this->Seed);
  std::uint64_t After = 0;
  int Failures = 0;
  // A new node first looks for peers, since reading the records from them puts
  // no load on the platform.
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
      logError(LogLevel::Warn, "reading the records from the platform failed",
               Version.error());
    ++Failures;
    this->backOff(Failures, Generator);
  }
}

Result<void> PlatformClient::readInstancesOnce() {
  const auto Response = this->get("/v1/instances", config::PlatformCallTimeout);
  if (!Response)
    return tl::unexpected<Error>(Response.error());
  std::vector<std::string> Warnings;
  auto Instances = readInstanceList(*Response, Warnings);
  for (const std::string &Warning : Warnings)
    logEvent(LogLevel::Warn, "instance list: " + Warning);
  if (!Instances)
    return tl::unexpected<Error>(Instances.error());
  postUpdate(this->Context, InstanceBatch{std::move(*Instances)});
  return {};
}

void PlatformClient::readInstances() {
  Random Generator(this->Seed + InstanceSeedOffset);
  int Failures = 0;
  while (!this->Context.Stop.stopped()) {
    const auto Read = this->readInstancesOnce();
    this->Context.NodeMetrics.countPlatformCall(Read ? "ok" : "failed");
    if (Read) {
      Failures = 0;
      this->Context.Stop.sleep(this->instancePeriod(Generator));
      continue;
    }
    if (Failures == 0)
      logError(LogLevel::Warn,
               "reading the instance list from the platform failed",
               Read.error());
    ++Failures;
    this->backOff(Failures, Generator);
  }
}

Duration PlatformClient::instancePeriod(Random &Generator) const {
  const std::size_t Live = this->Context.Members.load()->Live.size();
  if (Live <= 1 || watcherRank(this->Context))
    return config::InstanceListPeriod;
  const Duration Period = std::max<Duration>(
      config::InstanceListIdlePeriod,
      config::InstanceListPeriodPerMember * static_cast<std::int64_t>(Live));
  return std::chrono::duration_cast<Duration>(Period *
                                              (0.5 + Generator.unit()));
}

void PlatformClient::backOff(int Failures, Random &Generator) {
  constexpr int MaxDoublings = 8;
  const Duration MaxPause = std::min<Duration>(
      config::PlatformRetryBase * (1 << std::min(Failures, MaxDoublings)),
      config::PlatformRetryCap);
  this->Context.Stop.sleep(std::chrono::duration_cast<Duration>(
      MaxPause * std::max(Generator.unit(), 0.1)));
}

} // namespace siskinstage
