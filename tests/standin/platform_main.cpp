/// Stand-in for the platform: serves records that can be read and watched, and
/// an instance list; simulates outages, stale reads and latency on request.
///
///   GET  /v1/records?after=V&wait_ms=N   {"version","more","records"}
///   GET  /v1/instances                   {"instances"}
///   POST /control/records                adds the records in the body
///   POST /control/instances              replaces the instance list
///   POST /control/mode?outage=0|1&stale=V|no&lag_ms=N
///   GET  /control/calls                  {"calls","version"} since the start
#include "core/records/record_parser.h"
#include "net/flag_reader.h"
#include "standin/control_server.h"
#include "standin/platform_store.h"

#include <absl/flags/flag.h>
#include <algorithm>
#include <atomic>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <json/writer.h>
#include <sstream>
#include <thread>

ABSL_FLAG(std::string, listen, "127.0.0.1:7000", "Port of the platform.");
ABSL_FLAG(std::string, records, "",
          "File or directory with the initial records.");

namespace {

using siskinstage::standin::ControlReply;
using siskinstage::standin::ControlRequest;
using siskinstage::standin::PlatformStore;

/// Simulated failures, and the number of calls.
struct FailureMode {
  std::atomic<bool> Outage{false};
  std::atomic<int> LagMs{0};
  std::atomic<std::uint64_t> Calls{0};
};

std::string compactJson(const Json::Value &Value) {
  Json::StreamWriterBuilder Writer;
  Writer["indentation"] = "";
  return Json::writeString(Writer, Value);
}

bool addRecords(PlatformStore &Store, const std::string &Text) {
  const auto Parsed = siskinstage::parseRecords(Text, "body");
  if (Parsed)
    Store.add(*Parsed);
  return Parsed.has_value();
}

void setMode(PlatformStore &Store, FailureMode &Mode,
             const ControlRequest &Request) {
  Mode.Outage = Request.number("outage", Mode.Outage ? 1 : 0) > 0;
  Mode.LagMs = static_cast<int>(Request.number("lag_ms", Mode.LagMs));
  const std::string Stale = Request.text("stale", "");
  if (Stale == "no")
    Store.freezeAt(std::nullopt);
  else if (!Stale.empty())
    Store.freezeAt(std::stoull(Stale));
}

ControlReply handleControl(PlatformStore &Store, FailureMode &Mode,
                           const ControlRequest &Request) {
  if (Request.Path == "/control/records")
    return {addRecords(Store, Request.Body) ? 200 : 400, "{}"};
  if (Request.Path == "/control/instances") {
    const auto Parsed = siskinstage::parseRecords(Request.Body, "body");
    if (!Parsed)
      return {400, "{}"};
    Json::Value Instances(Json::arrayValue);
    for (const Json::Value &Instance : *Parsed)
      Instances.append(Instance);
    Store.setInstances(Instances);
    return {200, "{}"};
  }
  if (Request.Path == "/control/mode") {
    setMode(Store, Mode, Request);
    return {200, "{}"};
  }
  if (Request.Path == "/control/calls")
    return {200, "{\"calls\":" + std::to_string(Mode.Calls.load()) +
                     ",\"version\":" + std::to_string(Store.version()) + "}"};
  return {404, "{}"};
}

ControlReply handleRequest(PlatformStore &Store, FailureMode &Mode,
                           const ControlRequest &Request) {
  if (Request.Path.rfind("/control/", 0) == 0)
    return handleControl(Store, Mode, Request);
  ++Mode.Calls;
  if (Mode.Outage)
    return {503, "", true};
  Json::Value Content;
  if (Request.Path == "/v1/records")
    Content =
        Store.changes(static_cast<std::uint64_t>(Request.number("after", 0)),
                      static_cast<int>(Request.number("wait_ms", 0)));
  else if (Request.Path == "/v1/instances")
    Content = Store.instances();
  else
    return {404, "{}"};
  std::this_thread::sleep_for(std::chrono::milliseconds(Mode.LagMs.load()));
  if (Mode.Outage)
    return {503, "", true};
  return {200, compactJson(Content)};
}

bool loadRecords(PlatformStore &Store, const std::string &Path) {
  std::vector<std::filesystem::path> Files;
  if (std::filesystem::is_directory(Path))
    for (const auto &Entry : std::filesystem::directory_iterator(Path))
      Files.push_back(Entry.path());
  else
    Files.emplace_back(Path);
  std::sort(Files.begin(), Files.end());
  for (const auto &File : Files) {
    std::ifstream Stream(File);
    std::ostringstream Text;
    Text << Stream.rdbuf();
    if (!addRecords(Store, Text.str())) {
      std::cerr << File << " is not a JSON record or an array of records\n";
      return false;
    }
  }
  return true;
}

} // namespace

int main(int Argc, char **Argv) {
  siskinstage::standin::blockStopSignals();
  std::vector<siskinstage::Error> Faults;
  siskinstage::readFlags(Argc, Argv, {}, Faults);
  PlatformStore Store;
  FailureMode Mode;
  const std::string Records = absl::GetFlag(FLAGS_records);
  if (!Faults.empty() || (!Records.empty() && !loadRecords(Store, Records)))
    return 2;
  constexpr int MaxThreads = 1000;
  const auto Server = siskinstage::standin::startControlServer(
      absl::GetFlag(FLAGS_listen), MaxThreads,
      [&](const ControlRequest &Request) {
        return handleRequest(Store, Mode, Request);
      });
  siskinstage::standin::waitForStopSignal();
  std::quick_exit(0);
}
