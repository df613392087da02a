#include "core/records/record_parser.h"
#include "ctl/commands.h"
#include "ctl/table.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <set>
#include <sstream>

namespace siskinstage::ctl {

namespace {

/// Results of the check of all files.
struct CheckResults {
  Json::Value Rows{Json::arrayValue}; ///< One object per fault or warning.
  std::size_t RecordCount = 0;
  std::size_t FaultCount = 0;
  std::map<RecordKey, std::string> FileByRecord;
  std::set<std::string> ServiceNames;
  std::map<std::string, std::string> ServiceByRoute;

  void add(const std::string &File, const std::string &Label,
           const std::string &Level, const std::string &Message) {
    Json::Value Row(Json::objectValue);
    Row["file"] = File;
    Row["record"] = Label;
    Row["level"] = Level;
    Row["finding"] = Message;
    this->Rows.append(Row);
    this->FaultCount += Level == "fault" ? 1 : 0;
  }
};

void checkRecord(const std::string &File, const Json::Value &Value,
                 CheckResults &Results) {
  const RecordReading Reading = readRecord(Value);
  ++Results.RecordCount;
  for (const FieldFault &Fault : Reading.Faults)
    Results.add(File, Reading.Label, "fault", Fault.text());
  for (const std::string &Warning : Reading.Warnings)
    Results.add(File, Reading.Label, "warning", Warning);
  if (!Reading.Accepted)
    return;
  const Record &Parsed = *Reading.Accepted;
  const auto [Existing, Inserted] =
      Results.FileByRecord.try_emplace(Parsed.Key, File);
  if (!Inserted)
    Results.add(File, Reading.Label, "fault",
                "the record is defined in " + Existing->second + " as well");
  if (std::holds_alternative<ServiceRecord>(Parsed.Body))
    Results.ServiceNames.insert(Parsed.Key.Name);
  if (const auto *Route = std::get_if<RouteRecord>(&Parsed.Body))
    Results.ServiceByRoute[Reading.Label] = Route->Service.str();
}

void checkFile(const std::filesystem::path &File, CheckResults &Results) {
  std::ifstream Stream(File);
  std::ostringstream Content;
  Content << Stream.rdbuf();
  if (!Stream) {
    Results.add(File.string(), "", "fault", "cannot read the file");
    return;
  }
  const auto Values = parseRecords(Content.str(), File.string());
  if (!Values) {
    Results.add(File.string(), "", "fault", Values.error().Reason);
    return;
  }
  for (const Json::Value &Value : *Values)
    checkRecord(File.string(), Value, Results);
}

/// The files in \p Paths and the .json files of its directories, sorted.
std::vector<std::filesystem::path>
listFiles(const std::vector<std::string> &Paths) {
  std::vector<std::filesystem::path> Files;
  for (const std::string &Path : Paths) {
    if (!std::filesystem::is_directory(Path)) {
      Files.emplace_back(Path);
      continue;
    }
    for (const auto &Entry : std::filesystem::directory_iterator(Path))
      if (Entry.path().extension() == ".json")
        Files.push_back(Entry.path());
  }
  std::sort(Files.begin(), Files.end());
  return Files;
}

} // namespace

int runCheck(const CtlOptions &Options) {
  const std::vector<std::string> Paths(Options.Arguments.begin() + 1,
                                       Options.Arguments.end());
  if (Paths.empty()) {
    std::cerr << "check: expected at least one record file or directory\n";
    return ExitError;
  }
  CheckResults Results;
  const auto Files = listFiles(Paths);
  if (Files.empty()) {
    std::cerr << "check: no .json file found\n";
    return ExitError;
  }
  for (const auto &File : Files)
    checkFile(File, Results);
  for (const auto &[Route, Service] : Results.ServiceByRoute)
    if (Results.ServiceNames.count(Service) == 0)
      Results.add("", Route, "warning",
                  "service " + Service + " is not defined in these records");
  if (Options.Json)
    std::cout << jsonText(Results.Rows);
  else if (!Results.Rows.empty())
    std::cout << tableText({{"LEVEL", "level"},
                            {"FILE", "file"},
                            {"RECORD", "record"},
                            {"FINDING", "finding"}},
                           Results.Rows);
  if (!Options.Json)
    std::cout << Results.RecordCount << " records, " << Results.FaultCount
              << " faults\n";
  return Results.FaultCount == 0 ? ExitOk : ExitNegativeResult;
}

} // namespace siskinstage::ctl
