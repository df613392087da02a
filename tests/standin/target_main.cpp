/// Stand-in for targets: runs --count targets on consecutive ports, the first
/// of which is --first.
///
///   POST /behave?target=N|all&fail=0.5&slow=10&...   see TargetBehaviour
///   POST /leaving?target=N|all&on=0|1
///   GET  /ledger    number of runs by work id
///   POST /clear     empties the ledger
///   GET  /stats     array of one object per target
///   GET  /work?target=N      start times of work; clears them
///   GET  /arrivals?target=N  the same for all requests that arrived
#include "net/flag_reader.h"
#include "standin/target_server.h"

#include <absl/flags/flag.h>
#include <cstdlib>
#include <memory>
#include <thread>
#include <vector>

ABSL_FLAG(std::string, control, "127.0.0.1:7900", "Control port.");
ABSL_FLAG(std::string, ip, "127.0.0.1", "IP address of the targets.");
ABSL_FLAG(std::string, first, "7100", "Port of the first target.");
ABSL_FLAG(std::string, count, "10", "Number of targets.");
ABSL_FLAG(std::string, slots, "3",
          "Maximum number of concurrent requests per target.");
ABSL_FLAG(std::string, connections, "350",
          "Maximum number of connections per target.");

namespace {

using siskinstage::standin::ControlReply;
using siskinstage::standin::ControlRequest;
using siskinstage::standin::TargetLedger;
using siskinstage::standin::TargetServer;
using Targets = std::vector<std::unique_ptr<TargetServer>>;

int intFlag(const absl::Flag<std::string> &Flag) {
  return std::atoi(absl::GetFlag(Flag).c_str());
}

std::vector<TargetServer *> selectTargets(const Targets &AllTargets,
                                          const ControlRequest &Request) {
  std::vector<TargetServer *> Selected;
  const std::string Name = Request.text("target", "all");
  for (std::size_t I = 0; I < AllTargets.size(); ++I)
    if (Name == "all" || Name == std::to_string(I))
      Selected.push_back(AllTargets[I].get());
  return Selected;
}

std::string statsJson(const Targets &AllTargets) {
  std::string Text = "[";
  for (const auto &Target : AllTargets)
    Text += (Text.size() > 1 ? "," : "") + Target->statsJson();
  return Text + "]";
}

ControlReply handleRequest(const Targets &AllTargets, TargetLedger &Ledger,
                           const ControlRequest &Request) {
  if (Request.Path == "/ledger")
    return {200, Ledger.dump()};
  if (Request.Path == "/stats")
    return {200, statsJson(AllTargets)};
  if (Request.Path == "/clear") {
    Ledger.clear();
    return {200, "{}"};
  }
  if (Request.Path == "/work") {
    const auto Selected = selectTargets(AllTargets, Request);
    return {200, Selected.empty() ? "[]" : Selected.front()->takeWorkTimes()};
  }
  if (Request.Path == "/arrivals") {
    const auto Selected = selectTargets(AllTargets, Request);
    return {200,
            Selected.empty() ? "[]" : Selected.front()->takeArrivalTimes()};
  }
  if (Request.Path == "/behave") {
    for (TargetServer *Target : selectTargets(AllTargets, Request))
      Target->behaviour().update(Request);
    return {200, "{}"};
  }
  if (Request.Path == "/leaving") {
    for (TargetServer *Target : selectTargets(AllTargets, Request))
      Target->setLeaving(Request.number("on", 1) > 0);
    return {200, "{}"};
  }
  return {404, "{}"};
}

} // namespace

int main(int Argc, char **Argv) {
  siskinstage::standin::blockStopSignals();
  std::vector<siskinstage::Error> Faults;
  siskinstage::readFlags(Argc, Argv, {}, Faults);
  if (!Faults.empty())
    return 2;
  TargetLedger Ledger;
  Targets AllTargets;
  for (int I = 0; I < intFlag(FLAGS_count); ++I) {
    const std::string Endpoint = absl::GetFlag(FLAGS_ip) + ":" +
                                 std::to_string(intFlag(FLAGS_first) + I);
    AllTargets.push_back(std::make_unique<TargetServer>(
        Endpoint, intFlag(FLAGS_slots), intFlag(FLAGS_connections), Ledger));
    std::thread([Target = AllTargets.back().get()] { Target->run(); }).detach();
  }
  const auto Server = siskinstage::standin::startControlServer(
      absl::GetFlag(FLAGS_control), 8, [&](const ControlRequest &Request) {
        return handleRequest(AllTargets, Ledger, Request);
      });
  siskinstage::standin::waitForStopSignal();
  std::quick_exit(0);
}
