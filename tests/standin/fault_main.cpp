/// Stand-in of a faulty network: --links=listen>forward,... proxied over TCP
/// (tcp:) or UDP (udp:).
///
///   POST /rule?link=N|all&direction=up|down|both&delay_ms=&drop=&reorder=
///        &cut=0|1&silence=1&truncate=BYTES
#include "net/flag_reader.h"
#include "standin/fault_link.h"

#include <absl/flags/flag.h>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <sstream>
#include <thread>
#include <vector>

ABSL_FLAG(std::string, control, "127.0.0.1:7800", "Control port.");
ABSL_FLAG(std::string, links, "",
          "Links, as tcp:127.0.0.1:1>127.0.0.1:2, separated by commas.");

namespace {

using siskinstage::standin::ControlAnswer;
using siskinstage::standin::ControlRequest;
using siskinstage::standin::FaultLink;
using Links = std::vector<std::unique_ptr<FaultLink>>;

bool startLinks(const std::string &Text, Links &All) {
  constexpr std::size_t KindBytes = 4;
  std::istringstream Items(Text);
  std::string Item;
  while (std::getline(Items, Item, ',')) {
    const std::size_t Arrow = Item.find('>');
    if (Item.size() < KindBytes || Arrow == std::string::npos) {
      std::cerr << "link " << Item << " is not kind:listen>forward\n";
      return false;
    }
    const bool Udp = Item.substr(0, KindBytes) == "udp:";
    All.push_back(std::make_unique<FaultLink>(
        Item.substr(KindBytes, Arrow - KindBytes), Item.substr(Arrow + 1)));
    std::thread([Link = All.back().get(), Udp] {
      if (Udp)
        Link->runUdp();
      else
        Link->runTcp();
    }).detach();
  }
  return true;
}

ControlAnswer answer(const Links &All, const ControlRequest &Asked) {
  if (Asked.Path != "/rule")
    return {404, "{}"};
  const std::string Name = Asked.text("link", "all");
  for (std::size_t I = 0; I < All.size(); ++I)
    if (Name == "all" || Name == std::to_string(I))
      All[I]->set(Asked);
  return {200, "{}"};
}

} // namespace

int main(int Argc, char **Argv) {
  siskinstage::standin::blockStopSignals();
  std::vector<siskinstage::Error> Faults;
  siskinstage::readFlags(Argc, Argv, {}, Faults);
  Links All;
  if (!Faults.empty() || !startLinks(absl::GetFlag(FLAGS_links), All))
    return 2;
  const auto Server = siskinstage::standin::startControlServer(
      absl::GetFlag(FLAGS_control), 8,
      [&](const ControlRequest &Asked) { return answer(All, Asked); });
  siskinstage::standin::awaitStop();
  std::quick_exit(0);
}
