#include "core/records/account_reader.h"
#include "core/records/record_names.h"
#include "core/records/record_parser.h"
#include "core/requests/account_directory.h"
#include "core/requests/key_digest.h"
#include "siskinstage/record_limits.h"

#include <set>

namespace siskinstage {

namespace {

constexpr std::uint64_t MaxConcurrency = 1'000'000;
/// Stands for the value of a field that may hold a secret.
constexpr const char *HiddenValue = "a value that is not shown";

std::vector<KeyDigest> readDigests(FieldReader &Fields,
                                   RecordReading &Reading) {
  std::vector<KeyDigest> Digests;
  const std::string Path = Fields.pathOf("key_digests");
  const Json::Value &List = Fields.value("key_digests");
  if (!List.isArray())
    Reading.Faults.push_back({Path, HiddenValue, "an array"});
  if (!List.isArray())
    return Digests;
  Digests.reserve(List.size());
  for (Json::ArrayIndex I = 0; I < List.size(); ++I) {
    const auto Digest =
        List[I].isString() ? parseDigest(List[I].asString()) : std::nullopt;
    if (Digest)
      Digests.push_back(*Digest);
    else
      Reading.Faults.push_back({Path + "[" + std::to_string(I) + "]",
                                HiddenValue,
                                "a digest of 32 hexadecimal digits"});
  }
  return Digests;
}

AccountRecord readKeyedAccount(FieldReader &Fields, RecordReading &Reading) {
  AccountRecord Account;
  Account.Name = AccountName(readForeignName(Fields, "name"));
  Account.KeyDigests = readDigests(Fields, Reading);
  if (Fields.has("priority"))
    Account.Priority = static_cast<std::uint32_t>(
        Fields.number("priority", 0, 0, record_limits::MaxPriority));
  Account.RatePerSecond =
      Fields.real("rate_per_s", 0, 0, record_limits::MaxRate);
  Account.Burst = Fields.real("burst", 0, 0, record_limits::MaxRate);
  return Account;
}

} // namespace

AccountRecord readAccount(FieldReader &Fields, const std::string &Name) {
  AccountRecord Account;
  Account.Name = AccountName(Name);
  Account.RatePerSecond =
      Fields.real("rate_per_s", 0, 0, record_limits::MaxRate);
  Account.Concurrency = static_cast<std::uint32_t>(
      Fields.number("concurrency", 0, 0, MaxConcurrency));
  return Account;
}

std::shared_ptr<const AccountDirectory> readAccounts(FieldReader &Fields,
                                                     RecordReading &Reading) {
  const std::size_t FaultsBefore = Reading.Faults.size();
  const Json::Value &List = Fields.value("accounts");
  if (Fields.has("accounts") && !List.isArray())
    Reading.Faults.push_back(
        {Fields.pathOf("accounts"), HiddenValue, "an array"});
  if (!List.isArray())
    return nullptr;
  std::vector<AccountRecord> Accounts;
  Accounts.reserve(List.size());
  std::set<std::string> Names;
  for (Json::ArrayIndex I = 0; I < List.size(); ++I) {
    const std::string Path =
        Fields.pathOf("accounts[" + std::to_string(I) + "]");
    if (!List[I].isObject()) {
      Reading.Faults.push_back(
          {Path, HiddenValue, "an object with name and key_digests"});
      continue;
    }
    FieldReader Part(List[I], Path, Reading.Faults);
    Accounts.push_back(readKeyedAccount(Part, Reading));
    if (!Names.insert(Accounts.back().Name.str()).second)
      Part.addFault("name", "a name used once in the record");
    for (const std::string &Unknown : Part.unknownFields())
      Reading.Warnings.push_back("unknown field " + Unknown);
  }
  if (Accounts.empty() || Reading.Faults.size() > FaultsBefore)
    return nullptr;
  auto Directory = AccountDirectory::create(std::move(Accounts));
  if (Directory)
    return std::move(*Directory);
  Reading.Faults.push_back(
      {Directory.error().Peer, HiddenValue, "a key that is held once"});
  return nullptr;
}

} // namespace siskinstage
