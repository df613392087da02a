/// Stand-in of targets: --count targets on the ports from --first on.
///
///   POST /behave?target=N|all&fail=0.5&slow=10&...   see TargetBehaviour
///   POST /leaving?target=N|all&on=0|1
///   GET  /ledger    runs of each piece of work
///   POST /clear     empties the ledger
///   GET  /stats     one object for each target
///   GET  /work?target=N  times at which work began; forgets them
#include "net/flag_reader.h"
#include "standin/target_server.h"

#include <absl/flags/flag.h>
#include <cstdlib>
#include <memory>
#include <thread>
#include <vector>

ABSL_FLAG(std::string, control, "127.0.0.1:7900", "Control port.");
ABSL_FLAG(std::string, ip, "127.0.0.1", "IP number of the targets.");
ABSL_FLAG(std::string, first, "7100", "Port of the first target.");
ABSL_FLAG(std::string, count, "10", "Number of targets.");
ABSL_FLAG(std::string, slots, "3", "Requests at once, each target.");
ABSL_FLAG(std::string, connections, "350", "Connections at once, each target.");

namespace {

using siskinstage::standin::ControlAnswer;
using siskinstage::standin::ControlRequest;
using siskinstage::standin::TargetLedger;
using siskinstage::standin::TargetServer;
using Targets = std::vector<std::unique_ptr<TargetServer>>;

int number(const absl::Flag<std::string> &Flag) {
  return std::atoi(absl::GetFlag(Flag).c_str());
}

std::vector<TargetServer *> chosen(const Targets &All,
                                   const ControlRequest &Asked) {
  std::vector<TargetServer *> Chosen;
  const std::string Name = Asked.text("target", "all");
  for (std::size_t I = 0; I < All.size(); ++I)
    if (Name == "all" || Name == std::to_string(I))
      Chosen.push_back(All[I].get());
  return Chosen;
}

std::string statsOf(const Targets &All) {
  std::string Text = "[";
  for (const auto &Each : All)
    Text += (Text.size() > 1 ? "," : "") + Each->statsText();
  return Text + "]";
}

ControlAnswer answer(const Targets &All, TargetLedger &Ledger,
                     const ControlRequest &Asked) {
  if (Asked.Path == "/ledger")
    return {200, Ledger.dump()};
  if (Asked.Path == "/stats")
    return {200, statsOf(All)};
  if (Asked.Path == "/clear") {
    Ledger.clear();
    return {200, "{}"};
  }
  if (Asked.Path == "/work") {
    const auto Chosen = chosen(All, Asked);
    return {200, Chosen.empty() ? "[]" : Chosen.front()->takeWorkTimes()};
  }
  if (Asked.Path == "/behave") {
    for (TargetServer *Each : chosen(All, Asked))
      Each->behaviour().set(Asked);
    return {200, "{}"};
  }
  if (Asked.Path == "/leaving") {
    for (TargetServer *Each : chosen(All, Asked))
      Each->setLeaving(Asked.number("on", 1) > 0);
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
  Targets All;
  for (int I = 0; I < number(FLAGS_count); ++I) {
    const std::string Where =
        absl::GetFlag(FLAGS_ip) + ":" + std::to_string(number(FLAGS_first) + I);
    All.push_back(std::make_unique<TargetServer>(
        Where, number(FLAGS_slots), number(FLAGS_connections), Ledger));
    std::thread([Target = All.back().get()] { Target->run(); }).detach();
  }
  const auto Server = siskinstage::standin::startControlServer(
      absl::GetFlag(FLAGS_control), 8,
      [&](const ControlRequest &Asked) { return answer(All, Ledger, Asked); });
  siskinstage::standin::awaitStop();
  std::quick_exit(0);
}
