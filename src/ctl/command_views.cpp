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

void show(const CtlOptions &Options, const std::vector<Column> &Columns,
          const Json::Value &Rows) {
  std::cout << (Options.Json ? jsonText(Rows) : tableText(Columns, Rows));
}

/// The targets of all services in \p State, each with its service's name.
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
    return ExitUsage;
  Json::Value Found(Json::arrayValue);
  for (const Json::Value &Target : targetRows(*State))
    if (Target["id"].asString() == Options.Words[2] ||
        Target["address"].asString() == Options.Words[2])
      Found.append(Target);
  if (Found.empty()) {
    std::cerr << "explain: no service lists target " << Options.Words[2]
              << '\n';
    return ExitFound;
  }
  if (Options.Json) {
    std::cout << jsonText(Found);
    return ExitOk;
  }
  for (const Json::Value &Target : Found)
    for (const std::string &Field : Target.getMemberNames())
      std::cout << Field << ": " << cellText(Target[Field]) << '\n';
  return ExitOk;
}

int explainRoute(const CtlOptions &Options) {
  Poco::URI Uri("/explain");
  Uri.addQueryParameter("path", Options.Words[2]);
  Uri.addQueryParameter("host", Options.Host);
  Uri.addQueryParameter("method", Options.Method);
  const auto Page = fetchPage(Options, Uri.getPathAndQuery());
  if (!Page)
    return ExitUsage;
  if (Options.Json) {
    std::cout << jsonText(*Page);
    return ExitOk;
  }
  for (const std::string &Field : Page->getMemberNames())
    if (!(*Page)[Field].isArray())
      std::cout << Field << ": " << cellText((*Page)[Field]) << '\n';
  std::cout << tableText({{"TARGET", "id"},
                          {"STATE", "state"},
                          {"ADMITTED", "admitted"},
                          {"SHARE", "share"},
                          {"IN-FLIGHT", "in_flight"},
                          {"REASON", "reason"}},
                         (*Page)["targets"]);
  return (*Page)["route"].isNull() ? ExitFound : ExitOk;
}

} // namespace

int runState(const CtlOptions &Options) {
  const auto State = fetchPage(Options, "/state");
  if (!State)
    return ExitUsage;
  std::cout << jsonText(*State);
  return ExitOk;
}

int runTargets(const CtlOptions &Options) {
  const auto State = fetchPage(Options, "/state");
  if (!State)
    return ExitUsage;
  Json::Value Rows(Json::arrayValue);
  for (const Json::Value &Target : targetRows(*State))
    if (Options.Words.size() < 2 ||
        Target["service"].asString() == Options.Words[1])
      Rows.append(Target);
  show(Options, TargetColumns, Rows);
  return ExitOk;
}

int runMembers(const CtlOptions &Options) {
  const auto State = fetchPage(Options, "/state");
  if (!State)
    return ExitUsage;
  show(Options,
       {{"NODE", "id"},
        {"ADDRESS", "address"},
        {"DOMAIN", "domain"},
        {"STATE", "state"}},
       (*State)["members"]);
  return ExitOk;
}

int runConfig(const CtlOptions &Options) {
  const Instant Limit = bootNow() + Options.Timeout;
  while (true) {
    const auto State = fetchPage(Options, "/state");
    if (!State)
      return ExitUsage;
    const Json::Value &Config = (*State)["config"];
    if (Config["highest_revision"].asUInt64() >= Options.Wait) {
      if (Options.Json) {
        std::cout << jsonText(Config);
        return ExitOk;
      }
      for (const std::string &Field : Config.getMemberNames())
        std::cout << Field << ": " << cellText(Config[Field]) << '\n';
      return ExitOk;
    }
    if (bootNow() >= Limit) {
      std::cerr << "config: revision " << Options.Wait
                << " is not in force; the highest is "
                << Config["highest_revision"].asUInt64() << '\n';
      return ExitFound;
    }
    std::this_thread::sleep_for(PollPeriod);
  }
}

int runExplain(const CtlOptions &Options) {
  if (Options.Words.size() == 3 && Options.Words[1] == "target")
    return explainTarget(Options);
  if (Options.Words.size() == 3 && Options.Words[1] == "route")
    return explainRoute(Options);
  std::cerr << "explain: say \"target ID\" or \"route PATH\"\n";
  return ExitUsage;
}

int runCompletion(const CtlOptions & /*Options*/) {
  std::cout << "complete -W \"check state targets members config explain "
               "completion target route --node= --output=json "
               "--output=table --timeout_ms= --wait= --host= --method=\" "
               "-o default siskinctl\n";
  return ExitOk;
}

} // namespace siskinstage::ctl
