#include "core/fleet/soft_state.h"
#include "siskinstage/config.h"

#include <algorithm>
#include <tuple>
#include <utility>
#include <xxhash.h>

namespace siskinstage {

namespace {

std::uint64_t mixText(const std::string &Text, std::uint64_t Seed) {
  return XXH3_64bits_withSeed(Text.data(), Text.size(), Seed);
}

bool isValid(const SoftStateUpdate &Update) {
  return !Update.Id.Owner.empty() &&
         Update.Id.Key.size() <= config::MaxSoftStateKeyBytes &&
         (!Update.Value ||
          Update.Value->size() <= config::MaxSoftStateValueBytes) &&
         Update.Remaining > Duration::zero() &&
         Update.Remaining <= config::MaxSoftStateLifetime;
}

} // namespace

SoftState::SoftState(Address Owner, std::uint64_t OwnerProcess,
                     std::size_t MaxEntries)
    : Owner(std::move(Owner)), OwnerProcess(OwnerProcess),
      MaxEntries(MaxEntries) {}

bool SoftState::put(const SoftStateId &Id, Entry New) {
  const auto Found = this->Table.find(Id);
  if (Found == this->Table.end()) {
    if (this->Table.size() >= this->MaxEntries) {
      ++this->Full;
      return false;
    }
    this->Table.emplace(Id, std::move(New));
    return true;
  }
  Entry &Known = Found->second;
  const auto Order = std::tie(New.OwnerProcess, New.Version) <=>
                     std::tie(Known.OwnerProcess, Known.Version);
  if (Order < 0)
    return false;
  if (Order == 0) {
    // Of two copies of one version the more cautious one holds, whichever
    // arrives first: the earlier end, and no value before any value.
    New.ExpiresAt = std::min(New.ExpiresAt, Known.ExpiresAt);
    New.Value = std::min(New.Value, Known.Value);
  }
  if (New == Known)
    return false;
  Known = std::move(New);
  return true;
}

bool SoftState::set(SoftStateKind Kind, const std::string &Key,
                    std::string Value, Duration Lifetime, Instant Now) {
  return this->put(
      {Kind, Key, this->Owner},
      {this->OwnerProcess, this->NextVersion++, std::move(Value),
       Now + std::min<Duration>(Lifetime, config::MaxSoftStateLifetime)});
}

void SoftState::erase(SoftStateKind Kind, const std::string &Key, Instant Now) {
  const SoftStateId Id = {Kind, Key, this->Owner};
  if (this->Table.count(Id) != 0)
    this->put(Id, {this->OwnerProcess, this->NextVersion++, std::nullopt,
                   Now + config::MaxSoftStateLifetime});
}

bool SoftState::mergeOne(const SoftStateUpdate &Update, Instant Now) {
  if (!isValid(Update)) {
    ++this->Malformed;
    return false;
  }
  if (Update.Id.Owner == this->Owner) {
    // An entry of an earlier process; if the clock was set back since, this
    // process must still replace it.
    if (Update.OwnerProcess > this->OwnerProcess)
      this->OwnerProcess = Update.OwnerProcess + 1;
    if (Update.OwnerProcess == this->OwnerProcess)
      return false;
  }
  return this->put(Update.Id, {Update.OwnerProcess, Update.Version,
                               Update.Value, Now + Update.Remaining});
}

std::vector<SoftStateId>
SoftState::merge(const std::vector<SoftStateUpdate> &Updates, Instant Now) {
  std::vector<SoftStateId> Changed;
  for (const SoftStateUpdate &Update : Updates)
    if (this->mergeOne(Update, Now))
      Changed.push_back(Update.Id);
  return Changed;
}

void SoftState::expire(Instant Now) {
  std::erase_if(this->Table, [Now](const auto &Item) {
    return Now - Item.second.ExpiresAt > config::SoftStateRetention;
  });
}

std::map<SoftStateId, std::string> SoftState::values(SoftStateKind Kind,
                                                     Instant Now) const {
  std::map<SoftStateId, std::string> Values;
  for (const auto &[Id, Known] : this->Table)
    if (Id.Kind == Kind && Known.Value && Known.ExpiresAt > Now)
      Values.emplace(Id, *Known.Value);
  return Values;
}

SoftState::Digest SoftState::digest(Instant Now) const {
  Digest Hashes;
  for (const auto &[Id, Known] : this->Table)
    if (Known.ExpiresAt > Now)
      // A sum does not depend on the order of the entries.
      Hashes[Id.Owner] += mixText(
          Id.Key, mixText(Known.Value.value_or(""),
                          (Known.OwnerProcess << 20U) ^ (Known.Version << 2U) ^
                              (Known.Value ? 1U : 0U)) +
                      static_cast<std::uint64_t>(Id.Kind));
  return Hashes;
}

std::vector<SoftStateUpdate> SoftState::difference(const Digest &Theirs,
                                                   Instant Now) const {
  const Digest Own = this->digest(Now);
  std::vector<SoftStateUpdate> Updates;
  for (const auto &[Id, Known] : this->Table) {
    const auto Hash = Theirs.find(Id.Owner);
    if (Known.ExpiresAt > Now &&
        (Hash == Theirs.end() || Hash->second != Own.at(Id.Owner)))
      Updates.push_back({Id, Known.OwnerProcess, Known.Version, Known.Value,
                         Known.ExpiresAt - Now});
  }
  return Updates;
}

SoftState::Stats SoftState::stats() const {
  return {this->Table.size(), this->Malformed, this->Full};
}

} // namespace siskinstage
