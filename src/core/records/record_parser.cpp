#include "core/records/record_parser.h"
#include "core/address.h"
#include "core/records/account_reader.h"
#include "core/records/record_names.h"
#include "core/records/record_upgrade.h"
#include "core/records/revision_codec.h"
#include "siskinstage/record_limits.h"

#include <algorithm>
#include <cctype>
#include <json/reader.h>
#include <json/writer.h>
#include <limits>
#include <memory>
#include <set>

namespace siskinstage {

namespace {

using namespace record_limits;

const std::vector<std::string> KindNames = {"service", "route",  "account",
                                            "fleet",   "target", "bundle"};
const std::vector<std::string> DetectionNames = {"fast", "careful"};
const std::vector<std::string> PolicyNames = {
    "random", "round_robin", "least_in_flight", "two_choices", "domain_first"};

/// Reads all fields of a target except its id.
TargetSpec readTargetFields(FieldReader &Fields) {
  TargetSpec Target;
  Target.Endpoint = Address(Fields.requiredText("address"));
  Target.Domain = FailureDomain(Fields.text("domain", ""));
  if (!Target.Endpoint.empty() && !parseAddress(Target.Endpoint.str()))
    Fields.addFault("address", "an IPv4 address and port, as 10.0.0.1:8080");
  Target.Capacity.Value =
      static_cast<std::uint32_t>(Fields.number("slots", 0, 0, MaxSlots));
  Target.Leaving = Fields.flag("leaving").value_or(false);
  Target.Warmup = Millis(Fields.number("warmup_ms", 0, 0, MaxDurationMs));
  Target.Process.Value = Fields.number(
      "incarnation", 0, 0,
      static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max()));
  return Target;
}

TargetSpec readTarget(const Json::Value &Value, const std::string &Path,
                      RecordReading &Reading) {
  if (!Value.isObject()) {
    Reading.Faults.push_back({Path, Value.isString() ? Value.asString() : "?",
                              "an object with id, address and domain"});
    return {};
  }
  FieldReader Fields(Value, Path, Reading.Faults);
  TargetSpec Target = readTargetFields(Fields);
  Target.Id = TargetId(Fields.text("id", Target.Endpoint.str()));
  for (const std::string &Field : Fields.unknownFields())
    Reading.Warnings.push_back("unknown field " + Field);
  return Target;
}

std::vector<TargetSpec> readTargets(FieldReader &Fields,
                                    RecordReading &Reading) {
  std::vector<TargetSpec> Targets;
  std::set<std::string> Seen;
  const Json::Value &List = Fields.list("targets", true);
  for (Json::ArrayIndex I = 0; I < List.size(); ++I) {
    const std::string Path =
        Fields.pathOf("targets[" + std::to_string(I) + "]");
    Targets.push_back(readTarget(List[I], Path, Reading));
    const std::string &Id = Targets.back().Id.str();
    if (!Seen.insert(Id).second)
      Reading.Faults.push_back({Path + ".id", "\"" + Id + "\" a second time",
                                "an id used once in the record"});
  }
  return Targets;
}

/// Reads all fields of a service except its targets.
ServiceRecord readServiceFields(FieldReader &Fields, const std::string &Name) {
  ServiceRecord Service;
  Service.Name = ServiceName(Name);
  Service.SlotsPerTarget.Value =
      static_cast<std::uint32_t>(Fields.number("slots", 3, 1, MaxSlots));
  Service.Floor = Fields.real("floor", 0.5, 0, 1);
  Service.Detection = static_cast<DetectionPreference>(
      Fields.choice("detection", DetectionNames, 1));
  Service.Policy = static_cast<RoutingPolicy>(
      Fields.choice("policy", PolicyNames,
                    static_cast<std::size_t>(RoutingPolicy::TwoChoices)));
  const auto DefaultMs =
      static_cast<std::uint64_t>(config::DefaultDeadline.count());
  Service.Deadline =
      Millis(Fields.number("deadline_ms", DefaultMs, 1, MaxDurationMs));
  Service.RequireEcho = Fields.flag("require_echo").value_or(false);
  Service.HealthPath = Fields.text("health_path", Service.HealthPath);
  if (Service.HealthPath.empty() || Service.HealthPath.front() != '/')
    Fields.addFault("health_path", "a path that starts with \"/\"");
  return Service;
}

ServiceRecord readService(FieldReader &Fields, RecordReading &Reading,
                          const std::string &Name) {
  std::vector<TargetSpec> Targets = readTargets(Fields, Reading);
  ServiceRecord Service = readServiceFields(Fields, Name);
  Service.Targets = std::move(Targets);
  return Service;
}

std::vector<RouteBackend> readBackends(FieldReader &Fields,
                                       RecordReading &Reading) {
  std::vector<RouteBackend> Backends;
  const Json::Value &List = Fields.list("backends", false);
  for (Json::ArrayIndex I = 0; I < List.size(); ++I) {
    const std::string Path =
        Fields.pathOf("backends[" + std::to_string(I) + "]");
    if (!List[I].isObject()) {
      Reading.Faults.push_back(
          {Path, "no object", "an object with service and weight"});
      continue;
    }
    FieldReader BackendFields(List[I], Path, Reading.Faults);
    RouteBackend Parsed;
    Parsed.Service = ServiceName(readForeignName(BackendFields, "service"));
    Parsed.Weight = static_cast<std::uint32_t>(
        BackendFields.number("weight", 1, 0, MaxWeight));
    Backends.push_back(std::move(Parsed));
  }
  return Backends;
}

RouteRecord readRoute(FieldReader &Fields, RecordReading &Reading,
                      const std::string &Name) {
  RouteRecord Route;
  Route.Name = RouteName(Name);
  Route.Host = Fields.text("host", "");
  std::transform(Route.Host.begin(), Route.Host.end(), Route.Host.begin(),
                 [](unsigned char Letter) { return std::tolower(Letter); });
  Route.PathPrefix = Fields.requiredText("path_prefix");
  if (!Route.PathPrefix.empty() && Route.PathPrefix.front() != '/')
    Fields.addFault("path_prefix", "a path that starts with \"/\"");
  Route.BelowPrefixOnly = Fields.flag("below_prefix_only").value_or(false);
  Route.Methods = Fields.textList("methods");
  for (const std::string &Method : Route.Methods)
    if (!std::all_of(Method.begin(), Method.end(), [](unsigned char Letter) {
          return std::isupper(Letter) != 0;
        }))
      Reading.Faults.push_back({Fields.pathOf("methods"), "\"" + Method + "\"",
                                "a method in capitals, as \"GET\""});
  Route.Backends = readBackends(Fields, Reading);
  if (Route.Backends.empty())
    Route.Service = ServiceName(readForeignName(Fields, "service"));
  Route.Repeatable = Fields.flag("repeatable");
  Route.MaxAttempts = static_cast<std::uint32_t>(
      Fields.number("max_attempts", 0, 0, MaxAttempts));
  Route.Timeout = Millis(Fields.number("timeout_ms", 0, 0, MaxDurationMs));
  Route.Objective = Millis(Fields.number("objective_ms", 0, 0, MaxDurationMs));
  Route.Priority =
      static_cast<std::uint32_t>(Fields.number("priority", 0, 0, MaxPriority));
  Route.Public = Fields.flag("public").value_or(false);
  return Route;
}

TargetRecord readTargetRecord(FieldReader &Fields, const std::string &Name) {
  TargetRecord Target;
  Target.Service = ServiceName(readForeignName(Fields, "service"));
  Target.Spec = readTargetFields(Fields);
  Target.Spec.Id = TargetId(Name);
  return Target;
}

/// Reads each object of the list \p Field of a bundle with \p Read.
template <typename T, typename Reader>
std::vector<T> readParts(FieldReader &Fields, RecordReading &Reading,
                         const std::string &Field, Reader Read) {
  std::vector<T> Parts;
  const Json::Value &List = Fields.list(Field, true);
  for (Json::ArrayIndex I = 0; I < List.size(); ++I) {
    const std::string Path =
        Fields.pathOf(Field + "[" + std::to_string(I) + "]");
    if (!List[I].isObject()) {
      Reading.Faults.push_back({Path, "no object", "an object"});
      continue;
    }
    FieldReader Part(List[I], Path, Reading.Faults);
    Parts.push_back(Read(Part, readForeignName(Part, "name")));
    for (const std::string &Unknown : Part.unknownFields())
      Reading.Warnings.push_back("unknown field " + Unknown);
  }
  return Parts;
}

BundleRecord readBundle(FieldReader &Fields, RecordReading &Reading) {
  BundleRecord Bundle;
  Bundle.Routes =
      readParts<RouteRecord>(Fields, Reading, "routes",
                             [&](FieldReader &Part, const std::string &Name) {
                               return readRoute(Part, Reading, Name);
                             });
  Bundle.Services =
      readParts<ServiceRecord>(Fields, Reading, "services",
                               [](FieldReader &Part, const std::string &Name) {
                                 return readServiceFields(Part, Name);
                               });
  Bundle.Accounts = readAccounts(Fields, Reading);
  return Bundle;
}

FleetRecord readFleet(FieldReader &Fields, const std::string &Name) {
  FleetRecord Fleet;
  Fleet.Name = Name;
  Fleet.RetryBudget = Fields.real("retry_budget", config::RetryBudgetFraction,
                                  0, MaxRetryBudget);
  Fleet.RetryBurst = Fields.real("retry_burst", 0, 0, MaxRetryBurst);
  Fleet.QuotaWindow = Millis(
      Fields.number("quota_window_ms",
                    static_cast<std::uint64_t>(config::QuotaWindow.count()), 1,
                    MaxDurationMs));
  Fleet.QuotaOverage =
      Fields.real("quota_overage", config::QuotaOverage, 0, MaxQuotaOverage);
  Fleet.QuotaSlack =
      Fields.real("quota_slack", config::QuotaSlack, 0, MaxQuotaSlack);
  Fleet.EntriesPerAccount =
      Fields.number("entries_per_account", config::EntriesPerAccount, 1, 64);
  Fleet.RevocationLimit =
      Millis(Fields.number("revocation_limit_ms", 0, 0, MaxRevocationLimitMs));
  return Fleet;
}

Revision readRecordRevision(FieldReader &Fields, const Json::Value &Value) {
  const std::string Field = "revision";
  Revision Rev = {Fields.requiredNumber(
      Field, 1,
      static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max()))};
  // Marks the fields as known.
  Fields.value(epochField(Field));
  Fields.value(writerField(Field));
  if (!Fields.has(epochField(Field)) && !Fields.has(writerField(Field)))
    return Rev;
  if (const auto Complete = readRevision(Value, Field))
    return *Complete;
  Fields.addFault(epochField(Field),
                  "a whole number up to 2^53, beside " + writerField(Field) +
                      " as [process, count] or [process, count, deleted]");
  return Rev;
}

RecordBody readBody(FieldReader &Fields, RecordReading &Reading,
                    const RecordKey &Key) {
  switch (Key.Kind) {
  case RecordKind::Service:
    return readService(Fields, Reading, Key.Name);
  case RecordKind::Route:
    return readRoute(Fields, Reading, Key.Name);
  case RecordKind::Account:
    return readAccount(Fields, Key.Name);
  case RecordKind::Fleet:
    return readFleet(Fields, Key.Name);
  case RecordKind::Target:
    return readTargetRecord(Fields, Key.Name);
  case RecordKind::Bundle:
    return readBundle(Fields, Reading);
  }
  return Tombstone{};
}

/// Returns \p Value in the newest schema: itself, as a copy of a long record
/// takes as much memory again, or \p Upgraded, which is set then. If the schema
/// is not supported, adds a fault and returns null.
const Json::Value *upgradeToNewest(const Json::Value &Value,
                                   Json::Value &Upgraded,
                                   std::vector<FieldFault> &Faults) {
  const Json::Value &Schema = Value["schema"];
  if (Schema.isInt() && Schema.asInt() == NewestSchema)
    return &Value;
  if (Schema.isInt() && Schema.asInt() == 1) {
    Upgraded = upgradeSchema1(Value);
    return &Upgraded;
  }
  FieldReader(Value, "", Faults).addFault("schema", "1 or 2");
  return nullptr;
}

std::string labelOf(const Json::Value &Value) {
  const Json::Value &Kind = Value["kind"];
  const Json::Value &Name = Value["name"];
  return (Kind.isString() ? Kind.asString() : "?") + "/" +
         (Name.isString() ? Name.asString() : "?");
}

std::shared_ptr<const std::string> recordText(const Json::Value &Value) {
  Json::StreamWriterBuilder Writer;
  Writer["indentation"] = "";
  Writer["commentStyle"] = "None";
  return std::make_shared<const std::string>(Json::writeString(Writer, Value));
}

/// Replaces the line breaks of \p Text by spaces.
std::string onOneLine(std::string Text) {
  std::replace(Text.begin(), Text.end(), '\n', ' ');
  return Text;
}

} // namespace

const char *recordKindName(RecordKind Kind) {
  return KindNames[static_cast<std::size_t>(Kind)].c_str();
}

std::string RecordKey::text() const {
  return std::string(recordKindName(this->Kind)) + "/" + this->Name;
}

Record makeTombstone(const RecordKey &Key, Revision Rev) {
  Json::Value Value(Json::objectValue);
  Value["schema"] = NewestSchema;
  Value["kind"] = recordKindName(Key.Kind);
  Value["name"] = Key.Name;
  writeRevision(Rev, "revision", Value);
  Value["deleted"] = true;
  return {Key, Rev, Tombstone{}, recordText(Value)};
}

RecordReading readRecord(const Json::Value &Value,
                         std::shared_ptr<const std::string> Text) {
  RecordReading Reading;
  if (!Value.isObject()) {
    Reading.Label = "?/?";
    Reading.Faults.push_back({"(record)", "no object", "a JSON object"});
    return Reading;
  }
  Reading.Label = labelOf(Value);
  Json::Value Upgraded;
  const Json::Value *Newest = upgradeToNewest(Value, Upgraded, Reading.Faults);
  if (Newest == nullptr)
    return Reading;

  FieldReader Fields(*Newest, "", Reading.Faults);
  Record Parsed;
  Fields.number("schema", NewestSchema, NewestSchema, NewestSchema);
  Fields.requiredText("kind");
  Parsed.Key.Kind =
      static_cast<RecordKind>(Fields.choice("kind", KindNames, 0));
  Parsed.Key.Name = Parsed.Key.Kind == RecordKind::Target
                        ? readForeignName(Fields, "name")
                        : readName(Fields, "name");
  Parsed.Rev = readRecordRevision(Fields, *Newest);
  if (Fields.flag("deleted").value_or(false))
    Parsed.Body = Tombstone{};
  else
    Parsed.Body = readBody(Fields, Reading, Parsed.Key);
  for (const std::string &Field : Fields.unknownFields())
    Reading.Warnings.push_back("unknown field " + Field);
  if (!Reading.Faults.empty())
    return Reading;
  Parsed.Text = Text ? std::move(Text) : recordText(Value);
  Reading.Accepted = std::move(Parsed);
  return Reading;
}

std::optional<std::pair<RecordKey, Revision>>
recordIdentity(const Json::Value &Value) {
  if (!Value.isObject() || !Value["kind"].isString() ||
      !Value["name"].isString())
    return std::nullopt;
  const auto Rev = readRevision(Value, "revision");
  if (!Rev)
    return std::nullopt;
  const auto Kind =
      std::find(KindNames.begin(), KindNames.end(), Value["kind"].asString());
  if (Kind == KindNames.end())
    return std::nullopt;
  const RecordKey Key = {static_cast<RecordKind>(Kind - KindNames.begin()),
                         Value["name"].asString()};
  return std::pair(Key, *Rev);
}

Result<std::vector<Json::Value>> parseRecords(const std::string &Text,
                                              const std::string &Source) {
  Json::CharReaderBuilder Builder;
  Builder["failIfExtra"] = true;
  Builder["rejectDupKeys"] = true;
  Builder["stackLimit"] = 64;
  const std::unique_ptr<Json::CharReader> Reader(Builder.newCharReader());
  Json::Value Root;
  std::string Faults;
  try {
    if (!Reader->parse(Text.data(), Text.data() + Text.size(), &Root, &Faults))
      return fail(Step::Records, Source, "not JSON: " + onOneLine(Faults));
  } catch (const Json::Exception &Fault) {
    return fail(Step::Records, Source,
                std::string("not JSON: ") + Fault.what());
  }
  std::vector<Json::Value> Records;
  if (!Root.isArray())
    Records.push_back(std::move(Root));
  else
    for (Json::Value &Element : Root)
      Records.push_back(std::move(Element));
  return Records;
}

} // namespace siskinstage
