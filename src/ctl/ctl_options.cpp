#include "ctl/ctl_options.h"
#include "core/address.h"
#include "net/flag_reader.h"

#include <absl/flags/flag.h>
#include <absl/flags/usage.h>
#include <cstdlib>

ABSL_FLAG(std::string, node, "127.0.0.1:9080",
          "Operator port of the node to query.");
ABSL_FLAG(std::string, output, "table", "Output format, json or table.");
ABSL_FLAG(std::string, timeout_ms, "3000",
          "Longest wait for a response, in ms.");
ABSL_FLAG(std::string, wait, "0",
          "For config: wait until this revision, or EPOCH:REVISION, is in "
          "effect.");
ABSL_FLAG(std::string, host, "", "For explain route: Host header.");
ABSL_FLAG(std::string, method, "GET", "For explain route: request method.");

namespace siskinstage::ctl {

namespace {

std::uint64_t readNumber(const std::string &Name, const std::string &Text,
                         std::vector<Error> &Faults) {
  char *End = nullptr;
  const std::uint64_t Number = std::strtoull(Text.c_str(), &End, 10);
  if (Text.empty() || *End != '\0' || Text.front() == '-')
    Faults.push_back({Step::Settings, Name,
                      "found \"" + Text + "\", allowed is a whole number"});
  return Number;
}

/// Reads REVISION or EPOCH:REVISION.
void readWaitPosition(const std::string &Text, CtlOptions &Options,
                      std::vector<Error> &Faults) {
  const std::size_t Colon = Text.find(':');
  if (Colon != std::string::npos)
    Options.WaitEpoch =
        HistoryEpoch{readNumber("wait", Text.substr(0, Colon), Faults)};
  Options.WaitRevision = readNumber(
      "wait", Colon == std::string::npos ? Text : Text.substr(Colon + 1),
      Faults);
}

} // namespace

const char *helpText() {
  return "Command line tool for operators of a siskinstage fleet.\n"
         "\n"
         "  siskinctl check FILE|DIR...     validate record files, offline\n"
         "  siskinctl state                 print the full state as JSON\n"
         "  siskinctl targets [SERVICE]     list targets, state and reason\n"
         "  siskinctl members               list the nodes that a node knows\n"
         "  siskinctl config                summarize the records in effect\n"
         "  siskinctl explain target ID     explain the state of a target\n"
         "  siskinctl explain route PATH    show where a request is routed\n"
         "  siskinctl completion            print a bash completion script\n"
         "\n"
         "Flags (environment: SISKINSTAGE_NODE, SISKINSTAGE_OUTPUT):\n"
         "  --node=ADDRESS:PORT    operator port, default 127.0.0.1:9080\n"
         "  --output=json|table    output format, default table\n"
         "  --timeout_ms=N         longest wait in ms, default 3000\n"
         "  --wait=[EPOCH:]REVISION\n"
         "                         for config: wait until it is in effect\n"
         "  --host=, --method=     for explain route: Host header and method\n"
         "\n"
         "Examples:\n"
         "  siskinctl check examples/nl-west\n"
         "  siskinctl --node=10.0.0.4:9080 targets allocation\n"
         "  siskinctl explain target alloc-03\n"
         "  siskinctl explain route /allocations/17 --method=POST\n"
         "  siskinctl config --wait=1207 --timeout_ms=5000\n"
         "  siskinctl config --wait=2:1104\n"
         "\n"
         "Exit codes: 0 success; 1 faults, unknown target or timed-out wait;\n"
         "            2 invalid usage or no valid response.\n";
}

CtlOptions readCtlOptions(int Argc, char **Argv, std::vector<Error> &Faults) {
  absl::SetProgramUsageMessage(helpText());
  CtlOptions Options;
  Options.Arguments =
      readFlags(Argc, Argv, {"node", "output", "timeout_ms"}, Faults);
  Options.Node = Address(absl::GetFlag(FLAGS_node));
  if (!parseAddress(Options.Node.str()))
    Faults.push_back({Step::Settings, "node",
                      "found \"" + Options.Node.str() +
                          "\", allowed is an IPv4 address and port"});
  const std::string Output = absl::GetFlag(FLAGS_output);
  if (Output != "json" && Output != "table")
    Faults.push_back({Step::Settings, "output",
                      "found \"" + Output + "\", allowed is json or table"});
  Options.Json = Output == "json";
  Options.Timeout =
      Millis(readNumber("timeout_ms", absl::GetFlag(FLAGS_timeout_ms), Faults));
  readWaitPosition(absl::GetFlag(FLAGS_wait), Options, Faults);
  Options.Host = absl::GetFlag(FLAGS_host);
  Options.Method = absl::GetFlag(FLAGS_method);
  return Options;
}

} // namespace siskinstage::ctl
