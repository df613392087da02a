/// Stand-in of the platform: records that can be read and watched, and an
/// instance list, with outages, staleness and lag on command.
///
///   GET  /v1/records?after=V&wait_ms=N   {"version","more","records"}
///   GET  /v1/instances                   {"instances"}
///   POST /control/records                adds the records of the body
///   POST /control/instances              replaces the list by the body
///   POST /control/mode?outage=0|1&stale=V|no&lag_ms=N
///   GET  /control/calls                  {"calls"} since the start
#include "core/record_parser.h"
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
ABSL_FLAG(std::string, records, "", "File or folder of records to start with.");

namespace {

using siskinstage::standin::ControlAnswer;
using siskinstage::standin::ControlRequest;
using siskinstage::standin::PlatformStore;

/// How the platform fails just now.
struct Mode {
  std::atomic<bool> Outage{false};
  std::atomic<int> LagMs{0};
  std::atomic<std::uint64_t> Calls{0};
};

std::string text(const Json::Value &Value) {
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

void setMode(PlatformStore &Store, Mode &Now, const ControlRequest &Asked) {
  Now.Outage = Asked.number("outage", Now.Outage ? 1 : 0) > 0;
  Now.LagMs = static_cast<int>(Asked.number("lag_ms", Now.LagMs));
  const std::string Stale = Asked.text("stale", "");
  if (Stale == "no")
    Store.freezeAt(std::nullopt);
  else if (!Stale.empty())
    Store.freezeAt(std::stoull(Stale));
}

ControlAnswer control(PlatformStore &Store, Mode &Now,
                      const ControlRequest &Asked) {
  if (Asked.Path == "/control/records")
    return {addRecords(Store, Asked.Body) ? 200 : 400, "{}"};
  if (Asked.Path == "/control/instances") {
    const auto Parsed = siskinstage::parseRecords(Asked.Body, "body");
    if (!Parsed)
      return {400, "{}"};
    Json::Value List(Json::arrayValue);
    for (const Json::Value &Each : *Parsed)
      List.append(Each);
    Store.setInstances(List);
    return {200, "{}"};
  }
  if (Asked.Path == "/control/mode") {
    setMode(Store, Now, Asked);
    return {200, "{}"};
  }
  if (Asked.Path == "/control/calls")
    return {200, "{\"calls\":" + std::to_string(Now.Calls.load()) +
                     ",\"version\":" + std::to_string(Store.version()) + "}"};
  return {404, "{}"};
}

ControlAnswer answer(PlatformStore &Store, Mode &Now,
                     const ControlRequest &Asked) {
  if (Asked.Path.rfind("/control/", 0) == 0)
    return control(Store, Now, Asked);
  ++Now.Calls;
  if (Now.Outage)
    return {503, "", true};
  Json::Value Given;
  if (Asked.Path == "/v1/records")
    Given = Store.changes(static_cast<std::uint64_t>(Asked.number("after", 0)),
                          static_cast<int>(Asked.number("wait_ms", 0)));
  else if (Asked.Path == "/v1/instances")
    Given = Store.instances();
  else
    return {404, "{}"};
  std::this_thread::sleep_for(std::chrono::milliseconds(Now.LagMs.load()));
  if (Now.Outage)
    return {503, "", true};
  return {200, text(Given)};
}

bool load(PlatformStore &Store, const std::string &Path) {
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
      std::cerr << File << " holds no records\n";
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
  Mode Now;
  const std::string Records = absl::GetFlag(FLAGS_records);
  if (!Faults.empty() || (!Records.empty() && !load(Store, Records)))
    return 2;
  constexpr int Threads = 1000;
  const auto Server = siskinstage::standin::startControlServer(
      absl::GetFlag(FLAGS_listen), Threads,
      [&](const ControlRequest &Asked) { return answer(Store, Now, Asked); });
  siskinstage::standin::awaitStop();
  std::quick_exit(0);
}
