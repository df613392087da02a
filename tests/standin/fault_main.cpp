/// Stand-in for a faulty network: proxies the TCP and UDP links of --links, and
/// simulates faults on them.
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
ABSL_FLAG(
    std::string, links, "",
    "Comma-separated links, as tcp:LISTEN>FORWARD or udp:LISTEN>FORWARD.");

namespace {

using siskinstage::standin::ControlReply;
using siskinstage::standin::ControlRequest;
using siskinstage::standin::FaultLink;
using Links = std::vector<std::unique_ptr<FaultLink>>;

bool startLinks(const std::string &Text, Links &AllLinks) {
  constexpr std::size_t ProtocolBytes = 4;
  std::istringstream Items(Text);
  std::string Item;
  while (std::getline(Items, Item, ',')) {
    const std::size_t Separator = Item.find('>');
    if (Item.size() < ProtocolBytes || Separator == std::string::npos) {
      std::cerr << "invalid link " << Item
                << ", allowed is tcp:LISTEN>FORWARD or udp:LISTEN>FORWARD\n";
      return false;
    }
    const bool Udp = Item.substr(0, ProtocolBytes) == "udp:";
    AllLinks.push_back(std::make_unique<FaultLink>(
        Item.substr(ProtocolBytes, Separator - ProtocolBytes),
        Item.substr(Separator + 1)));
    std::thread([Link = AllLinks.back().get(), Udp] {
      if (Udp)
        Link->runUdp();
      else
        Link->runTcp();
    }).detach();
  }
  return true;
}

ControlReply handleRequest(const Links &AllLinks,
                           const ControlRequest &Request) {
  if (Request.Path != "/rule")
    return {404, "{}"};
  const std::string Name = Request.text("link", "all");
  for (std::size_t I = 0; I < AllLinks.size(); ++I)
    if (Name == "all" || Name == std::to_string(I))
      AllLinks[I]->updateRules(Request);
  return {200, "{}"};
}

} // namespace

int main(int Argc, char **Argv) {
  siskinstage::standin::blockStopSignals();
  std::vector<siskinstage::Error> Faults;
  siskinstage::readFlags(Argc, Argv, {}, Faults);
  Links AllLinks;
  if (!Faults.empty() || !startLinks(absl::GetFlag(FLAGS_links), AllLinks))
    return 2;
  const auto Server = siskinstage::standin::startControlServer(
      absl::GetFlag(FLAGS_control), 8, [&](const ControlRequest &Request) {
        return handleRequest(AllLinks, Request);
      });
  siskinstage::standin::waitForStopSignal();
  std::quick_exit(0);
}
