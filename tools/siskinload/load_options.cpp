#include "load_options.h"
#include "core/address.h"
#include "net/flag_reader.h"

#include <absl/flags/flag.h>
#include <absl/flags/usage.h>
#include <cstdlib>
#include <sstream>

ABSL_FLAG(std::string, direct, "",
          "Addresses to send to, separated by commas.");
ABSL_FLAG(std::string, nodes, "",
          "Addresses of nodes to ask for entries, separated by commas.");
ABSL_FLAG(std::string, service, "", "Service to ask entries for.");
ABSL_FLAG(std::string, accounts, "1", "Client accounts that share the load.");
ABSL_FLAG(std::string, rate, "100", "Requests a second.");
ABSL_FLAG(std::string, seconds, "5", "Length of the load.");
ABSL_FLAG(std::string, connections, "64", "Requests under way at most.");
ABSL_FLAG(std::string, method, "GET", "Method of the requests.");
ABSL_FLAG(std::string, path, "/", "Path of the requests.");
ABSL_FLAG(std::string, host, "load", "Host header of the requests.");
ABSL_FLAG(std::string, cost_us, "1000",
          "Work of one request at a stand-in target, in microseconds.");
ABSL_FLAG(std::string, cost_spread, "1",
          "Highest cost over the lowest; costs are drawn log-uniformly.");
ABSL_FLAG(std::string, answer_bytes, "2048",
          "Length of the answers asked for.");
ABSL_FLAG(std::string, body_bytes, "0", "Length of the requests' bodies.");
ABSL_FLAG(bool, keyed, false, "Send an idempotency key with each request.");
ABSL_FLAG(std::string, resends, "0",
          "Further tries after no answer or one of unknown outcome.");
ABSL_FLAG(std::string, resend_after_ms, "100", "Wait before a further try.");
ABSL_FLAG(std::string, deadline_ms, "2000", "Deadline of each try.");
ABSL_FLAG(std::string, seed, "1", "Seed of arrivals and costs.");
ABSL_FLAG(std::string, log, "", "File for one line on each request.");
ABSL_FLAG(std::string, work_prefix, "w", "Start of the names of the work.");
ABSL_FLAG(bool, poison, false, "Send requests that crash a stand-in target.");
ABSL_FLAG(std::string, output, "json", "json or table.");

namespace siskinstage::load {

namespace {

constexpr const char *UsageText =
    "Open-loop load with scheduled arrivals; every answer is verified.\n"
    "Latency counts from a request's scheduled arrival.\n"
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
                  double Least, std::vector<Error> &Faults) {
  const std::string Text = absl::GetFlag(Flag);
  char *End = nullptr;
  const double Number = std::strtod(Text.c_str(), &End);
  if (Text.empty() || *End != '\0' || !(Number >= Least))
    Faults.push_back({Step::Settings, Name,
                      "found \"" + Text +
                          "\", allowed is a number of at "
                          "least " +
                          std::to_string(Least)});
  return Number;
}

} // namespace

LoadOptions readLoadOptions(int Argc, char **Argv, std::vector<Error> &Faults) {
  absl::SetProgramUsageMessage(UsageText);
  for (const std::string &Word : readFlags(Argc, Argv, {}, Faults))
    Faults.push_back({Step::Settings, Word, "this argument is no flag"});
  const auto Number = [&](const char *Name, const absl::Flag<std::string> &Flag,
                          double Least) {
    return readNumber(Name, Flag, Least, Faults);
  };
  LoadOptions Read;
  Read.Direct = readAddresses("direct", absl::GetFlag(FLAGS_direct), Faults);
  Read.Nodes = readAddresses("nodes", absl::GetFlag(FLAGS_nodes), Faults);
  if (Read.Direct.empty() && Read.Nodes.empty())
    Faults.push_back({Step::Settings, "nodes",
                      "neither nodes nor direct is "
                      "given"});
  Read.Service = absl::GetFlag(FLAGS_service);
  Read.Accounts =
      static_cast<std::uint32_t>(Number("accounts", FLAGS_accounts, 1));
  Read.Rate = Number("rate", FLAGS_rate, 0.001);
  Read.Seconds = Number("seconds", FLAGS_seconds, 0);
  Read.Connections =
      static_cast<std::uint32_t>(Number("connections", FLAGS_connections, 1));
  Read.Method = absl::GetFlag(FLAGS_method);
  Read.Path = absl::GetFlag(FLAGS_path);
  Read.Host = absl::GetFlag(FLAGS_host);
  Read.CostUs = Number("cost_us", FLAGS_cost_us, 0);
  Read.CostSpread = Number("cost_spread", FLAGS_cost_spread, 1);
  Read.AnswerBytes =
      static_cast<std::size_t>(Number("answer_bytes", FLAGS_answer_bytes, 0));
  Read.BodyBytes =
      static_cast<std::size_t>(Number("body_bytes", FLAGS_body_bytes, 0));
  Read.Keyed = absl::GetFlag(FLAGS_keyed);
  Read.Resends =
      static_cast<std::uint32_t>(Number("resends", FLAGS_resends, 0));
  Read.ResendAfter = Millis(static_cast<std::int64_t>(
      Number("resend_after_ms", FLAGS_resend_after_ms, 0)));
  Read.Deadline = Millis(
      static_cast<std::int64_t>(Number("deadline_ms", FLAGS_deadline_ms, 1)));
  Read.Seed = static_cast<std::uint64_t>(Number("seed", FLAGS_seed, 0));
  Read.LogFile = absl::GetFlag(FLAGS_log);
  Read.WorkPrefix = absl::GetFlag(FLAGS_work_prefix);
  Read.Poison = absl::GetFlag(FLAGS_poison);
  Read.Json = absl::GetFlag(FLAGS_output) != "table";
  return Read;
}

} // namespace siskinstage::load
