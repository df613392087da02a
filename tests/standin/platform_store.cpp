#include "standin/platform_store.h"

#include <chrono>

namespace siskinstage::standin {

namespace {

constexpr std::size_t PageRecords = 1000;

} // namespace

void PlatformStore::add(const std::vector<Json::Value> &Records) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  for (const Json::Value &Each : Records)
    this->History.push_back({this->History.size() + 1, Each});
  this->Changed.notify_all();
}

void PlatformStore::setInstances(const Json::Value &List) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  this->Instances = List;
}

void PlatformStore::freezeAt(std::optional<std::uint64_t> Version) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  this->Frozen = Version;
  this->Changed.notify_all();
}

std::uint64_t PlatformStore::shownVersion() const {
  return this->Frozen.value_or(this->History.size());
}

std::uint64_t PlatformStore::version() {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  return this->History.size();
}

Json::Value PlatformStore::changesNow(std::uint64_t After) const {
  // A reader that knows more than is shown gets everything.
  const std::uint64_t Shown = this->shownVersion();
  const std::uint64_t From = After > Shown ? 0 : After;
  std::map<std::uint64_t, const Json::Value *> Newest;
  std::map<std::string, std::uint64_t> Latest;
  for (const Versioned &Each : this->History) {
    if (Each.Version > Shown)
      break;
    const std::string Key =
        Each.Record["kind"].asString() + "/" + Each.Record["name"].asString();
    const auto Old = Latest.find(Key);
    if (Old != Latest.end())
      Newest.erase(Old->second);
    Latest[Key] = Each.Version;
    Newest[Each.Version] = &Each.Record;
  }
  Json::Value Answer(Json::objectValue);
  Json::Value &Records = Answer["records"] = Json::Value(Json::arrayValue);
  std::uint64_t Last = Shown;
  bool More = false;
  for (auto At = Newest.upper_bound(From); At != Newest.end(); ++At) {
    if (Records.size() == PageRecords) {
      More = true;
      break;
    }
    Records.append(*At->second);
    Last = At->first;
  }
  Answer["version"] = static_cast<Json::UInt64>(More ? Last : Shown);
  Answer["more"] = More;
  return Answer;
}

Json::Value PlatformStore::changes(std::uint64_t After, int WaitMs) {
  std::unique_lock<std::mutex> Guard(this->Lock);
  this->Changed.wait_for(Guard, std::chrono::milliseconds(WaitMs),
                         [&] { return this->shownVersion() != After; });
  return this->changesNow(After);
}

Json::Value PlatformStore::instances() {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  Json::Value Answer(Json::objectValue);
  Answer["instances"] = this->Instances;
  return Answer;
}

} // namespace siskinstage::standin
