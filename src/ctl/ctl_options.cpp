#include "ctl/ctl_options.h"
#include "core/address.h"
#include "net/flag_reader.h"

#include <absl/flags/flag.h>
#include <absl/flags/usage.h>
#include <cstdlib>

ABSL_FLAG(std::string, node, "127.0.0.1:9080",
          "Operators' port of the node to ask.");
ABSL_FLAG(std::string, output, "table", "json or table.");
ABSL_FLAG(std::string, timeout_ms, "3000", "Longest wait for an answer.");
ABSL_FLAG(std::string, wait, "0",
          "For config: wait until this revision is in force.");
ABSL_FLAG(std::string, host, "", "For explain route: the Host header.");
ABSL_FLAG(std::string, method, "GET", "For explain route: the method.");

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

} // namespace

const char *helpText() {
  return "Operators' tool of a siskinstage fleet.\n"
         "\n"
         "  siskinctl check FILE|DIR...     validates records, offline\n"
         "  siskinctl state                 all that a node knows, as JSON\n"
         "  siskinctl targets [SERVICE]     targets with state and why\n"
         "  siskinctl members               entry instances that a node sees\n"
         "  siskinctl config                records in force\n"
         "  siskinctl explain target ID     why a target gets work or none\n"
         "  siskinctl explain route PATH    where a request would go\n"
         "  siskinctl completion            completion script for bash\n"
         "\n"
         "Flags (or variables SISKINSTAGE_NODE, SISKINSTAGE_OUTPUT):\n"
         "  --node=ADDRESS:PORT    operators' port, 127.0.0.1:9080\n"
         "  --output=json|table    form of the answer, table\n"
         "  --timeout_ms=N         longest wait, 3000\n"
         "  --wait=REVISION        for config: wait until it is in force\n"
         "  --host=, --method=     for explain route\n"
         "\n"
         "Examples:\n"
         "  siskinctl check examples/nl-west\n"
         "  siskinctl --node=10.0.0.4:9080 targets allocation\n"
         "  siskinctl explain target alloc-03\n"
         "  siskinctl explain route /allocations/17 --method=POST\n"
         "  siskinctl config --wait=1207 --timeout_ms=5000\n"
         "\n"
         "Exit codes: 0 all is well, 1 faults were found or the wait ended, 2 "
         "wrong usage or no answer.\n";
}

CtlOptions readCtlOptions(int Argc, char **Argv, std::vector<Error> &Faults) {
  absl::SetProgramUsageMessage(helpText());
  CtlOptions Read;
  Read.Words = readFlags(Argc, Argv, {"node", "output", "timeout_ms"}, Faults);
  Read.Node = Address(absl::GetFlag(FLAGS_node));
  if (!parseAddress(Read.Node.str()))
    Faults.push_back({Step::Settings, "node",
                      "found \"" + Read.Node.str() +
                          "\", allowed is an IPv4 address and port"});
  const std::string Output = absl::GetFlag(FLAGS_output);
  if (Output != "json" && Output != "table")
    Faults.push_back({Step::Settings, "output",
                      "found \"" + Output + "\", allowed is json or table"});
  Read.Json = Output == "json";
  Read.Timeout =
      Millis(readNumber("timeout_ms", absl::GetFlag(FLAGS_timeout_ms), Faults));
  Read.Wait = readNumber("wait", absl::GetFlag(FLAGS_wait), Faults);
  Read.Host = absl::GetFlag(FLAGS_host);
  Read.Method = absl::GetFlag(FLAGS_method);
  return Read;
}

} // namespace siskinstage::ctl
