#include "load_options.h"
#include "core/address.h"
#include "net/flag_reader.h"

#include <absl/flags/flag.h>
#include <absl/flags/usage.h>
#include <cstdlib>
#include <sstream>

ABSL_FLAG(std::string, direct, "",
          "Comma-separated addresses to send to in turn, instead of entries.");
ABSL_FLAG(std::string, nodes, "",
          "Comma-separated addresses of nodes to fetch entries from.");
ABSL_FLAG(std::string, service, "", "Service to fetch entries for.");
ABSL_FLAG(std::string, accounts, "1", "Client accounts that share the load.");
ABSL_FLAG(std::string, rate, "100", "Requests per second.");
ABSL_FLAG(std::string, seconds, "5", "Duration of the load, in seconds.");
ABSL_FLAG(std::string, connections, "64",
          "Maximum number of concurrent requests.");
ABSL_FLAG(std::string, method, "GET", "Method of the requests.");
ABSL_FLAG(std::string, path, "/", "Path of the requests.");
ABSL_FLAG(std::string, host, "load", "Host header of the requests.");
ABSL_FLAG(std::string, cost_us, "1000",
          "Processing time of a request at a stand-in target, in microseconds; "
          "the median if --cost_spread is above 1.");
ABSL_FLAG(std::string, cost_spread, "1",
          "Highest cost / lowest cost; costs are distributed log-uniformly.");
ABSL_FLAG(std::string, answer_bytes, "2048",
          "Requested length of the response bodies, in bytes.");
ABSL_FLAG(std::string, body_bytes, "0",
          "Length of the request bodies, in bytes.");
ABSL_FLAG(bool, keyed, false, "Send an idempotency key with each request.");
ABSL_FLAG(std::string, resends, "0",
          "Maximum resends after a broken or unknown outcome.");
ABSL_FLAG(std::string, resend_after_ms, "100", "Delay before a resend, in ms.");
ABSL_FLAG(std::string, deadline_ms, "2000", "Deadline of each attempt, in ms.");
ABSL_FLAG(std::string, seed, "1", "Seed of arrival times and costs.");
ABSL_FLAG(std::string, log, "", "File to write one line per request to.");
ABSL_FLAG(std::string, work_prefix, "w", "Prefix of the work ids.");
ABSL_FLAG(bool, poison, false, "Send requests that crash a stand-in target.");
ABSL_FLAG(std::string, output, "json", "Output format, json or table.");

namespace siskinstage::load {

namespace {

constexpr const char *UsageText =
    "Open-loop load generator with scheduled arrivals; verifies every "
    "response.\n"
    "Latency is measured from the scheduled arrival of a request.\n"
    "Example:\n"
    "  siskinload --nodes=127.0.0.1:8080 --service=price-board "
    "--path=/boards/1 --rate=200 --seconds=10 --output=table";

std::vector<Address> readAddresses(const std::string &Name,
                                   const std::string &Text,
                                   std::vector<Error> &Faults) {
  std::vector<Address> Addresses;
  std::istringstream Items(Text);
  std::string Item;
  while (std::getline(Items, Item, ',')) {
    if (!parseAddress(Item))
      Faults.push_back(
          {Step::Settings, Name,
           "found \"" + Item + "\", allowed is an IPv4 address and port"});
    Addresses.emplace_back(Item);
  }
  return Addresses;
}

double readNumber(const std::string &Name, const absl::Flag<std::string> &Flag,
                  double Min, std::vector<Error> &Faults) {
  const std::string Text = absl::GetFlag(Flag);
  char *End = nullptr;
  const double Number = std::strtod(Text.c_str(), &End);
  if (Text.empty() || *End != '\0' || !(Number >= Min))
    Faults.push_back({Step::Settings, Name,
                      "found \"" + Text +
                          "\", allowed is a number of at "
                          "least " +
                          std::to_string(Min)});
  return Number;
}

} // namespace

LoadOptions readLoadOptions(int Argc, char **Argv, std::vector<Error> &Faults) {
  absl::SetProgramUsageMessage(UsageText);
  for (const std::string &Argument : readFlags(Argc, Argv, {}, Faults))
    Faults.push_back({Step::Settings, Argument,
                      "unexpected argument; allowed are flags only"});
  const auto Number = [&](const char *Name, const absl::Flag<std::string> &Flag,
                          double Min) {
    return readNumber(Name, Flag, Min, Faults);
  };
  LoadOptions Options;
  Options.Direct = readAddresses("direct", absl::GetFlag(FLAGS_direct), Faults);
  Options.Nodes = readAddresses("nodes", absl::GetFlag(FLAGS_nodes), Faults);
  if (Options.Direct.empty() && Options.Nodes.empty())
    Faults.push_back(
        {Step::Settings, "nodes", "--nodes or --direct is required"});
  Options.Service = absl::GetFlag(FLAGS_service);
  Options.Accounts =
      static_cast<std::uint32_t>(Number("accounts", FLAGS_accounts, 1));
  Options.Rate = Number("rate", FLAGS_rate, 0.001);
  Options.Seconds = Number("seconds", FLAGS_seconds, 0);
  Options.Connections =
      static_cast<std::uint32_t>(Number("connections", FLAGS_connections, 1));
  Options.Method = absl::GetFlag(FLAGS_method);
  Options.Path = absl::GetFlag(FLAGS_path);
  Options.Host = absl::GetFlag(FLAGS_host);
  Options.CostUs = Number("cost_us", FLAGS_cost_us, 0);
  Options.CostSpread = Number("cost_spread", FLAGS_cost_spread, 1);
  Options.ResponseBytes =
      static_cast<std::size_t>(Number("answer_bytes", FLAGS_answer_bytes, 0));
  Options.BodyBytes =
      static_cast<std::size_t>(Number("body_bytes", FLAGS_body_bytes, 0));
  Options.SendKeys = absl::GetFlag(FLAGS_keyed);
  Options.Resends =
      static_cast<std::uint32_t>(Number("resends", FLAGS_resends, 0));
  Options.ResendAfter = Millis(static_cast<std::int64_t>(
      Number("resend_after_ms", FLAGS_resend_after_ms, 0)));
  Options.Deadline = Millis(
      static_cast<std::int64_t>(Number("deadline_ms", FLAGS_deadline_ms, 1)));
  Options.Seed = static_cast<std::uint64_t>(Number("seed", FLAGS_seed, 0));
  Options.LogFile = absl::GetFlag(FLAGS_log);
  Options.WorkPrefix = absl::GetFlag(FLAGS_work_prefix);
  Options.Poison = absl::GetFlag(FLAGS_poison);
  Options.Json = absl::GetFlag(FLAGS_output) != "table";
  return Options;
}

} // namespace siskinstage::load
