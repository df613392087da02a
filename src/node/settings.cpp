#include "node/settings.h"
#include "core/address.h"
#include "net/flag_reader.h"

#include <Poco/NumberParser.h>
#include <absl/flags/flag.h>
#include <absl/flags/reflection.h>
#include <absl/flags/usage.h>
#include <charconv>
#include <fstream>
#include <map>
#include <sstream>

ABSL_FLAG(std::string, listen, "127.0.0.1:8080",
          "Address and port for callers.");
ABSL_FLAG(std::string, advertise, "",
          "Address at which callers and other nodes reach this node; same as "
          "--listen if empty.");
ABSL_FLAG(std::string, fleet_listen, "",
          "Address and port for other nodes, over TCP and UDP; --listen and "
          "--advertise if empty.");
ABSL_FLAG(std::string, operator_listen, "127.0.0.1:9080",
          "Address and port for operators.");
ABSL_FLAG(std::string, platform, "",
          "Address of the platform's configuration service and instance list.");
ABSL_FLAG(std::string, seeds, "",
          "Comma-separated addresses of other nodes, contacted besides those "
          "of the instance list.");
ABSL_FLAG(std::string, id, "",
          "Id of this node; its advertised address if empty.");
ABSL_FLAG(std::string, domain, "", "Failure domain of this node.");
ABSL_FLAG(std::string, region, "", "Region of this node.");
ABSL_FLAG(std::string, fleet_keys, "",
          "Secret keys of the fleet, as id:hex,id:hex; the first one signs.");
ABSL_FLAG(std::string, fleet_keys_file, "",
          "File with the secret keys of the fleet, replaces --fleet_keys.");
ABSL_FLAG(std::string, max_connections, "2500",
          "Maximum number of concurrent connections of callers, 1 to 20000.");
ABSL_FLAG(std::string, caller_threads, "400",
          "Maximum number of threads for callers' requests, one for each that "
          "exchanges data with a target, 2 to 4000.");
ABSL_FLAG(std::string, ready_wait_ms, "10000",
          "Longest time in ms to wait until revisions are compared with the "
          "platform and with nodes of two failure domains, 0 to 600000.");
ABSL_FLAG(std::string, entries_per_domain, "0",
          "Number of nodes per failure domain that callers are steered to, 0 "
          "to 64; 0 steers by service groups.");
ABSL_FLAG(std::string, processor_share, "0",
          "Processor cores that this instance has, in fractions, 0 to 1024; 0 "
          "if unknown.");
ABSL_FLAG(std::string, probe_period_ms, "5000",
          "Period in ms at which a node probes a target, 0 to 600000; 0 "
          "disables probes.");
ABSL_FLAG(std::string, accept_linger_ms, "500",
          "Time in ms for which new connections are accepted after SIGTERM, 0 "
          "to 60000.");
ABSL_FLAG(std::string, shutdown_limit_ms, "60000",
          "Longest time in ms from SIGTERM to exit, 0 to 600000.");
ABSL_FLAG(
    std::string, detector, "group",
    "Evidence that counts against a target: group, own or probes; the last two "
    "are for experiments.");
ABSL_FLAG(std::string, log_level, "info",
          "Lowest level to log: debug, info, warn or error.");
ABSL_FLAG(std::string, log_format, "kv", "Format of the log: kv or json.");
ABSL_FLAG(bool, print_settings, false,
          "Print the settings, without secrets, and exit.");

namespace siskinstage {

Address readAddress(const std::string &Name, const std::string &Value,
                    std::vector<Error> &Faults) {
  if (!parseAddress(Value))
    Faults.push_back(
        {Step::Settings, Name,
         "found \"" + Value + "\", allowed is an IPv4 address and port"});
  return Address(Value);
}

namespace {

constexpr const char *UsageText =
    "Node of a siskinstage proxy fleet.\n"
    "Every flag can be given as an environment variable SISKINSTAGE_<NAME>; "
    "the flag takes precedence.\n"
    "Example:\n"
    "  siskinstaged --listen=10.0.0.4:8080 --platform=10.0.9.1:7000 "
    "--domain=zaandam --fleet_keys_file=/run/siskinstage/keys";

const std::vector<std::string> FlagNames = {"fleet_listen",
                                            "entries_per_domain",
                                            "processor_share",
                                            "probe_period_ms",
                                            "accept_linger_ms",
                                            "shutdown_limit_ms",
                                            "seeds",
                                            "detector",
                                            "listen",
                                            "advertise",
                                            "operator_listen",
                                            "platform",
                                            "id",
                                            "domain",
                                            "region",
                                            "fleet_keys",
                                            "fleet_keys_file",
                                            "max_connections",
                                            "caller_threads",
                                            "ready_wait_ms",
                                            "log_level",
                                            "log_format"};

std::vector<Address> readSeeds(const std::string &Text,
                               std::vector<Error> &Faults) {
  std::vector<Address> Seeds;
  std::istringstream Items(Text);
  std::string Item;
  while (std::getline(Items, Item, ','))
    Seeds.push_back(readAddress("seeds", Item, Faults));
  return Seeds;
}

int readNumber(const std::string &Name, const std::string &Value, int Min,
               int Max, std::vector<Error> &Faults) {
  int Number = 0;
  const char *End = Value.data() + Value.size();
  const auto [Next, Fault] = std::from_chars(Value.data(), End, Number);
  if (Fault == std::errc{} && Next == End && Number >= Min && Number <= Max)
    return Number;
  Faults.push_back({Step::Settings, Name,
                    "found \"" + Value + "\", allowed is a number from " +
                        std::to_string(Min) + " to " + std::to_string(Max)});
  return Min;
}

template <typename T>
T readChoice(const std::string &Name, const std::string &Value,
             const std::map<std::string, T> &Choices,
             std::vector<Error> &Faults) {
  const auto Found = Choices.find(Value);
  if (Found != Choices.end())
    return Found->second;
  std::string Allowed;
  for (const auto &[Choice, Meaning] : Choices)
    Allowed += (Allowed.empty() ? "" : ", ") + Choice;
  Faults.push_back({Step::Settings, Name,
                    "found \"" + Value + "\", allowed is one of " + Allowed});
  return Choices.begin()->second;
}

std::string readKeyText(std::vector<Error> &Faults) {
  const std::string File = absl::GetFlag(FLAGS_fleet_keys_file);
  if (File.empty())
    return absl::GetFlag(FLAGS_fleet_keys);
  std::ifstream Stream(File);
  std::string Line;
  if (!std::getline(Stream, Line))
    Faults.push_back({Step::Settings, "fleet_keys_file",
                      "found \"" + File + "\", allowed is a readable file"});
  return Line;
}

/// Parses the number of cores \p Value of the setting \p Name.
/// \returns the number in thousandths.
std::uint32_t readShare(const std::string &Name, const std::string &Value,
                        std::vector<Error> &Faults) {
  constexpr double MaxCores = 1024;
  constexpr double ThousandthsPerCore = 1000;
  double Share = 0;
  if (!Poco::NumberParser::tryParseFloat(Value, Share) || !(Share >= 0) ||
      Share > MaxCores) {
    Faults.push_back(
        {Step::Settings, Name,
         "found " + Value + ", allowed is a number from 0 to 1024"});
    return 0;
  }
  return static_cast<std::uint32_t>(Share * ThousandthsPerCore);
}

std::optional<KeyRing> readKeys(std::vector<Error> &Faults) {
  auto Ring = KeyRing::parse(readKeyText(Faults));
  if (Ring)
    return std::move(*Ring);
  Faults.push_back(Ring.error());
  return std::nullopt;
}

} // namespace

Settings readSettings(int Argc, char **Argv, std::vector<Error> &Faults,
                      const std::vector<std::string> &AdapterFlags) {
  absl::SetProgramUsageMessage(UsageText);
  std::vector<std::string> All = FlagNames;
  All.insert(All.end(), AdapterFlags.begin(), AdapterFlags.end());
  for (const std::string &Argument : readFlags(Argc, Argv, All, Faults))
    Faults.push_back({Step::Settings, Argument,
                      "unexpected argument; allowed are flags only"});

  Settings Read;
  Read.Listen = readAddress("listen", absl::GetFlag(FLAGS_listen), Faults);
  const std::string Advertise = absl::GetFlag(FLAGS_advertise);
  Read.Advertise = Advertise.empty()
                       ? Read.Listen
                       : readAddress("advertise", Advertise, Faults);
  const std::string FleetListen = absl::GetFlag(FLAGS_fleet_listen);
  Read.FleetListen = FleetListen.empty()
                         ? Read.Listen
                         : readAddress("fleet_listen", FleetListen, Faults);
  Read.FleetAddress = FleetListen.empty() ? Read.Advertise : Read.FleetListen;
  Read.OperatorListen = readAddress(
      "operator_listen", absl::GetFlag(FLAGS_operator_listen), Faults);
  Read.Platform =
      readAddress("platform", absl::GetFlag(FLAGS_platform), Faults);
  Read.Seeds = readSeeds(absl::GetFlag(FLAGS_seeds), Faults);
  const std::string Id = absl::GetFlag(FLAGS_id);
  Read.Id = NodeId(Id.empty() ? Read.Advertise.str() : Id);
  Read.Domain = FailureDomain(absl::GetFlag(FLAGS_domain));
  if (Read.Domain.empty())
    Faults.push_back({Step::Settings, "domain",
                      "found nothing, allowed is the name of a failure "
                      "domain"});
  Read.Region = absl::GetFlag(FLAGS_region);
  Read.Keys = readKeys(Faults);
  Read.MaxConnections =
      readNumber("max_connections", absl::GetFlag(FLAGS_max_connections), 1,
                 20'000, Faults);
  Read.CallerThreads = readNumber(
      "caller_threads", absl::GetFlag(FLAGS_caller_threads), 2, 4000, Faults);
  Read.ReadyWait = Millis(readNumber(
      "ready_wait_ms", absl::GetFlag(FLAGS_ready_wait_ms), 0, 600'000, Faults));
  Read.EntriesPerDomain = static_cast<std::size_t>(
      readNumber("entries_per_domain", absl::GetFlag(FLAGS_entries_per_domain),
                 0, 64, Faults));
  Read.Capacity = readShare("processor_share",
                            absl::GetFlag(FLAGS_processor_share), Faults);
  Read.ProbePeriod =
      Millis(readNumber("probe_period_ms", absl::GetFlag(FLAGS_probe_period_ms),
                        0, 600'000, Faults));
  Read.AcceptLinger = Millis(readNumber("accept_linger_ms",
                                        absl::GetFlag(FLAGS_accept_linger_ms),
                                        0, 60'000, Faults));
  Read.ShutdownLimit = Millis(readNumber("shutdown_limit_ms",
                                         absl::GetFlag(FLAGS_shutdown_limit_ms),
                                         0, 600'000, Faults));
  Read.DetectorMode =
      readChoice<Detector>("detector", absl::GetFlag(FLAGS_detector),
                           {{"group", Detector::Group},
                            {"own", Detector::LocalOnly},
                            {"probes", Detector::ProbesOnly}},
                           Faults);
  Read.Level = readChoice<LogLevel>("log_level", absl::GetFlag(FLAGS_log_level),
                                    {{"debug", LogLevel::Debug},
                                     {"info", LogLevel::Info},
                                     {"warn", LogLevel::Warn},
                                     {"error", LogLevel::Error}},
                                    Faults);
  Read.Format = readChoice<LogFormat>(
      "log_format", absl::GetFlag(FLAGS_log_format),
      {{"kv", LogFormat::KeyValue}, {"json", LogFormat::Json}}, Faults);
  Read.PrintOnly = absl::GetFlag(FLAGS_print_settings);
  return Read;
}

std::string printedSettings() {
  std::ostringstream Text;
  for (const std::string &Name : FlagNames) {
    const std::string Value = absl::FindCommandLineFlag(Name)->CurrentValue();
    const bool Secret = Name == "fleet_keys" && !Value.empty();
    Text << Name << '=' << (Secret ? "(set, not shown)" : Value) << '\n';
  }
  return Text.str();
}

} // namespace siskinstage
