#include "standin/platform_store.h"

#include <chrono>

namespace siskinstage::standin {

namespace {

constexpr std::size_t MaxRecordsPerPage = 1000;

} // namespace

void PlatformStore::add(const std::vector<Json::Value> &Records) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  for (const Json::Value &Record : Records)
    this->History.push_back({this->History.size() + 1, Record});
  this->VersionChanged.notify_all();
}

void PlatformStore::setInstances(const Json::Value &NewInstances) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  this->Instances = NewInstances;
}

void PlatformStore::freezeAt(std::optional<std::uint64_t> Version) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  this->FrozenVersion = Version;
  this->VersionChanged.notify_all();
}

std::uint64_t PlatformStore::visibleVersion() const {
  return this->FrozenVersion.value_or(this->History.size());
}

std::uint64_t PlatformStore::version() {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  return this->History.size();
}

Json::Value PlatformStore::collectChanges(std::uint64_t After) const {
  // A reader that is ahead of the visible version gets all records.
  const std::uint64_t Visible = this->visibleVersion();
  const std::uint64_t From = After > Visible ? 0 : After;
  std::map<std::uint64_t, const Json::Value *> RecordByVersion;
  std::map<std::string, std::uint64_t> VersionByKey;
  for (const VersionedRecord &Entry : this->History) {
    if (Entry.Version > Visible)
      break;
    const std::string Key =
        Entry.Record["kind"].asString() + "/" + Entry.Record["name"].asString();
    const auto Previous = VersionByKey.find(Key);
    if (Previous != VersionByKey.end())
      RecordByVersion.erase(Previous->second);
    VersionByKey[Key] = Entry.Version;
    RecordByVersion[Entry.Version] = &Entry.Record;
  }
  Json::Value Response(Json::objectValue);
  Json::Value &Records = Response["records"] = Json::Value(Json::arrayValue);
  std::uint64_t Last = Visible;
  bool More = false;
  for (auto Next = RecordByVersion.upper_bound(From);
       Next != RecordByVersion.end(); ++Next) {
    if (Records.size() == MaxRecordsPerPage) {
      More = true;
      break;
    }
    Records.append(*Next->second);
    Last = Next->first;
  }
  Response["version"] = static_cast<Json::UInt64>(More ? Last : Visible);
  Response["more"] = More;
  return Response;
}

Json::Value PlatformStore::changes(std::uint64_t After, int WaitMs) {
  std::unique_lock<std::mutex> Guard(this->Lock);
  this->VersionChanged.wait_for(Guard, std::chrono::milliseconds(WaitMs), [&] {
    return this->visibleVersion() != After;
  });
  return this->collectChanges(After);
}

Json::Value PlatformStore::instances() {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  Json::Value Response(Json::objectValue);
  Response["instances"] = this->Instances;
  return Response;
}

} // namespace siskinstage::standin
