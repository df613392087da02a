#include "ctl/commands.h"
#include "ctl/operator_client.h"
#include "ctl/table.h"
#include "net/boot_time.h"

#include <Poco/URI.h>
#include <iostream>
#include <thread>

namespace siskinstage::ctl {

namespace {

constexpr std::chrono::milliseconds PollPeriod{50};

const std::vector<Column> TargetColumns = {
    {"SERVICE", "service"},     {"TARGET", "id"},   {"ADDRESS", "address"},
    {"DOMAIN", "domain"},       {"STATE", "state"}, {"ADMITTED", "admitted"},
    {"FLOOR", "kept_by_floor"}, {"SHARE", "share"}, {"IN-FLIGHT", "in_flight"},
    {"REASON", "reason"}};

void printRows(const CtlOptions &Options, const std::vector<Column> &Columns,
               const Json::Value &Rows) {
  std::cout << (Options.Json ? jsonText(Rows) : tableText(Columns, Rows));
}

/// The targets of all services in \p State; adds the name of the service to
/// each.
Json::Value targetRows(const Json::Value &State) {
  Json::Value Rows(Json::arrayValue);
  for (const Json::Value &Service : State["services"])
    for (Json::Value Target : Service["targets"]) {
      Target["service"] = Service["name"];
      Rows.append(Target);
    }
  return Rows;
}

int explainTarget(const CtlOptions &Options) {
  const auto State = fetchPage(Options, "/state");
  if (!State)
    return ExitError;
  Json::Value Matches(Json::arrayValue);
  for (const Json::Value &Target : targetRows(*State))
    if (Target["id"].asString() == Options.Arguments[2] ||
        Target["address"].asString() == Options.Arguments[2])
      Matches.append(Target);
  if (Matches.empty()) {
    std::cerr << "explain: no service lists target " << Options.Arguments[2]
              << '\n';
    return ExitNegativeResult;
  }
  if (Options.Json) {
    std::cout << jsonText(Matches);
    return ExitOk;
  }
  for (const Json::Value &Target : Matches)
    for (const std::string &Field : Target.getMemberNames())
      std::cout << Field << ": " << cellText(Target[Field]) << '\n';
  return ExitOk;
}

int explainRoute(const CtlOptions &Options) {
  Poco::URI Uri("/explain");
  Uri.addQueryParameter("path", Options.Arguments[2]);
  Uri.addQueryParameter("host", Options.Host);
  Uri.addQueryParameter("method", Options.Method);
  const auto Explanation = fetchPage(Options, Uri.getPathAndQuery());
  if (!Explanation)
    return ExitError;
  if (Options.Json) {
    std::cout << jsonText(*Explanation);
    return ExitOk;
  }
  for (const std::string &Field : Explanation->getMemberNames())
    if (!(*Explanation)[Field].isArray())
      std::cout << Field << ": " << cellText((*Explanation)[Field]) << '\n';
  std::cout << tableText({{"TARGET", "id"},
                          {"STATE", "state"},
                          {"ADMITTED", "admitted"},
                          {"SHARE", "share"},
                          {"IN-FLIGHT", "in_flight"},
                          {"REASON", "reason"}},
                         (*Explanation)["targets"]);
  return (*Explanation)["route"].isNull() ? ExitNegativeResult : ExitOk;
}

/// Whether the revision that \p Options wait for is in effect.
bool isReached(const CtlOptions &Options, const Json::Value &Config) {
  const std::uint64_t Highest = Config["highest_revision"].asUInt64();
  if (!Options.WaitEpoch)
    return Highest >= Options.WaitRevision;
  return Revision{Highest, {Config["epoch"].asUInt64()}, {}} >=
         Revision{Options.WaitRevision, *Options.WaitEpoch, {}};
}

} // namespace

int runState(const CtlOptions &Options) {
  const auto State = fetchPage(Options, "/state");
  if (!State)
    return ExitError;
  std::cout << jsonText(*State);
  return ExitOk;
}

int runTargets(const CtlOptions &Options) {
  const auto State = fetchPage(Options, "/state");
  if (!State)
    return ExitError;
  Json::Value Rows(Json::arrayValue);
  for (const Json::Value &Target : targetRows(*State))
    if (Options.Arguments.size() < 2 ||
        Target["service"].asString() == Options.Arguments[1])
      Rows.append(Target);
  printRows(Options, TargetColumns, Rows);
  return ExitOk;
}

int runMembers(const CtlOptions &Options) {
  const auto State = fetchPage(Options, "/state");
  if (!State)
    return ExitError;
  printRows(Options,
            {{"NODE", "id"},
             {"ADDRESS", "address"},
             {"DOMAIN", "domain"},
             {"STATE", "state"}},
            (*State)["members"]);
  return ExitOk;
}

int runConfig(const CtlOptions &Options) {
  const Instant Deadline = bootNow() + Options.Timeout;
  while (true) {
    const auto State = fetchPage(Options, "/state");
    if (!State)
      return ExitError;
    const Json::Value &Config = (*State)["config"];
    if (isReached(Options, Config)) {
      if (Options.Json) {
        std::cout << jsonText(Config);
        return ExitOk;
      }
      for (const std::string &Field : Config.getMemberNames())
        std::cout << Field << ": " << cellText(Config[Field]) << '\n';
      return ExitOk;
    }
    if (bootNow() >= Deadline) {
      std::cerr << "config: revision " << Options.WaitRevision
                << " is not in effect; the highest revision is "
                << Config["highest_revision"].asUInt64() << " of epoch "
                << Config["epoch"].asUInt64() << '\n';
      return ExitNegativeResult;
    }
    std::this_thread::sleep_for(PollPeriod);
  }
}

int runExplain(const CtlOptions &Options) {
  if (Options.Arguments.size() == 3 && Options.Arguments[1] == "target")
    return explainTarget(Options);
  if (Options.Arguments.size() == 3 && Options.Arguments[1] == "route")
    return explainRoute(Options);
  std::cerr << "explain: expected \"target ID\" or \"route PATH\"\n";
  return ExitError;
}

int runCompletion(const CtlOptions & /*Options*/) {
  std::cout << "complete -W \"check state targets members config explain "
               "completion target route --node= --output=json "
               "--output=table --timeout_ms= --wait= --host= --method=\" "
               "-o default siskinctl\n";
  return ExitOk;
}

} // namespace siskinstage::ctl
