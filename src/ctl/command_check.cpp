#include "core/record_parser.h"
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

/// What was found over all files.
struct Findings {
  Json::Value Rows{Json::arrayValue};
  std::size_t Records = 0;
  std::size_t Faults = 0;
  std::map<RecordKey, std::string> FileOf;
  std::set<std::string> Services;
  std::map<std::string, std::string> RouteServices; ///< Route to service.

  void add(const std::string &File, const std::string &Label,
           const std::string &Level, const std::string &Text) {
    Json::Value Row(Json::objectValue);
    Row["file"] = File;
    Row["record"] = Label;
    Row["level"] = Level;
    Row["finding"] = Text;
    this->Rows.append(Row);
    this->Faults += Level == "fault" ? 1 : 0;
  }
};

void checkRecord(const std::string &File, const Json::Value &Value,
                 Findings &Found) {
  const RecordReading Reading = readRecord(Value);
  ++Found.Records;
  for (const FieldFault &Fault : Reading.Faults)
    Found.add(File, Reading.Label, "fault", Fault.text());
  for (const std::string &Warning : Reading.Warnings)
    Found.add(File, Reading.Label, "warning", Warning);
  if (!Reading.Accepted)
    return;
  const Record &Good = *Reading.Accepted;
  const auto [First, New] = Found.FileOf.try_emplace(Good.Key, File);
  if (!New)
    Found.add(File, Reading.Label, "fault",
              "the record stands in " + First->second + " too");
  if (std::holds_alternative<ServiceRecord>(Good.Body))
    Found.Services.insert(Good.Key.Name);
  if (const auto *Route = std::get_if<RouteRecord>(&Good.Body))
    Found.RouteServices[Reading.Label] = Route->Service.str();
}

void checkFile(const std::filesystem::path &File, Findings &Found) {
  std::ifstream Stream(File);
  std::ostringstream Text;
  Text << Stream.rdbuf();
  if (!Stream) {
    Found.add(File.string(), "", "fault", "the file can't be read");
    return;
  }
  const auto Values = parseRecords(Text.str(), File.string());
  if (!Values) {
    Found.add(File.string(), "", "fault", Values.error().Reason);
    return;
  }
  for (const Json::Value &Value : *Values)
    checkRecord(File.string(), Value, Found);
}

std::vector<std::filesystem::path>
filesOf(const std::vector<std::string> &Paths) {
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
  const std::vector<std::string> Paths(Options.Words.begin() + 1,
                                       Options.Words.end());
  if (Paths.empty()) {
    std::cerr << "check: name a file or folder of records\n";
    return ExitUsage;
  }
  Findings Found;
  const auto Files = filesOf(Paths);
  if (Files.empty()) {
    std::cerr << "check: there is no .json file\n";
    return ExitUsage;
  }
  for (const auto &File : Files)
    checkFile(File, Found);
  for (const auto &[Route, Service] : Found.RouteServices)
    if (Found.Services.count(Service) == 0)
      Found.add("", Route, "warning",
                "service " + Service + " is not among these records");
  if (Options.Json)
    std::cout << jsonText(Found.Rows);
  else if (!Found.Rows.empty())
    std::cout << tableText({{"LEVEL", "level"},
                            {"FILE", "file"},
                            {"RECORD", "record"},
                            {"FINDING", "finding"}},
                           Found.Rows);
  if (!Options.Json)
    std::cout << Found.Records << " records, " << Found.Faults << " faults\n";
  return Found.Faults == 0 ? ExitOk : ExitFound;
}

} // namespace siskinstage::ctl
