#include "core/requests/key_table.h"

#include <algorithm>
#include <utility>

namespace siskinstage {

KeyTable::KeyTable(const Limits &TableLimits, Instant Now)
    : TableLimits(TableLimits), CurrentEpochStart(Now) {}

bool KeyTable::isFull() const {
  return this->Counts.Entries >= this->TableLimits.Capacity ||
         this->Counts.ResponseBytes >= this->TableLimits.ResponseBytes;
}

void KeyTable::sealEpoch(Instant Now) {
  this->SealedAt[this->CurrentEpoch] = Now;
  ++this->CurrentEpoch.Value;
  this->CurrentEpochStart = Now;
}

void KeyTable::removeEpoch(KeyEpoch Epoch) {
  const auto Keys = this->KeysByEpoch.find(Epoch);
  if (Keys == this->KeysByEpoch.end())
    return;
  for (const std::string &Key : Keys->second.Keys) {
    const auto Found = this->Entries.find(Key);
    if (Found->second.Status.Response)
      this->Counts.ResponseBytes -= Found->second.Status.Response->bytes();
    this->Entries.erase(Found);
  }
  this->Counts.Entries = this->Entries.size();
  this->KeysByEpoch.erase(Keys);
}

void KeyTable::advanceEpochs(Instant Now) {
  if (Now - this->CurrentEpochStart >= this->TableLimits.EpochLength)
    this->sealEpoch(Now);
  const Duration Retention =
      this->TableLimits.EpochLength * this->TableLimits.EpochsRetained;
  while (!this->SealedAt.empty()) {
    const auto [Oldest, SealTime] = *this->SealedAt.begin();
    if (Now - SealTime < Retention || this->KeysByEpoch[Oldest].Live > 0)
      return;
    this->removeEpoch(Oldest);
    this->SealedAt.erase(this->SealedAt.begin());
    this->FirstRetained.Value = Oldest.Value + 1;
  }
}

std::optional<KeyEpoch> KeyTable::epochForNewKeys(Instant Now) {
  this->advanceEpochs(Now);
  if (this->isFull())
    return std::nullopt;
  return this->CurrentEpoch;
}

KeyTable::Claim KeyTable::claim(KeyEpoch Epoch, const std::string &Key,
                                Fingerprint Request, Instant Now) {
  this->advanceEpochs(Now);
  const auto Found = this->Entries.find(Key);
  if (Found != this->Entries.end()) {
    if (Found->second.Request != Request)
      return Claim::Mismatch;
    const State Current = Found->second.Status.CurrentState;
    const bool Live = Current == State::Claimed || Current == State::InFlight;
    return Live ? Claim::Joined : Claim::Ended;
  }
  if (Epoch < this->FirstRetained || Epoch > this->CurrentEpoch)
    return Claim::Expired;
  if (Epoch < this->CurrentEpoch)
    return Claim::Sealed;
  if (this->isFull()) {
    this->sealEpoch(Now);
    return Claim::Sealed;
  }
  this->Entries.emplace(Key, Entry{Epoch, Request, View{}});
  EpochKeys &InEpoch = this->KeysByEpoch[Epoch];
  InEpoch.Keys.push_back(Key);
  ++InEpoch.Live;
  this->Counts.Entries = this->Entries.size();
  ++this->Counts.Live;
  return Claim::New;
}

std::optional<KeyTable::View> KeyTable::find(const std::string &Key) const {
  const auto Found = this->Entries.find(Key);
  if (Found == this->Entries.end())
    return std::nullopt;
  return Found->second.Status;
}

KeyTable::Entry *KeyTable::findLive(const std::string &Key) {
  const auto Found = this->Entries.find(Key);
  if (Found == this->Entries.end())
    return nullptr;
  const State Current = Found->second.Status.CurrentState;
  const bool Live = Current == State::Claimed || Current == State::InFlight;
  return Live ? &Found->second : nullptr;
}

void KeyTable::setBodyHash(const std::string &Key, std::uint64_t Hash) {
  if (Entry *Found = this->findLive(Key))
    Found->Status.BodyHash = Hash;
}

bool KeyTable::beginDispatch(const std::string &Key) {
  Entry *Found = this->findLive(Key);
  if (Found == nullptr || Found->Status.CurrentState != State::Claimed)
    return false;
  Found->Status.CurrentState = State::InFlight;
  return true;
}

void KeyTable::retractDispatch(const std::string &Key) {
  Entry *Found = this->findLive(Key);
  if (Found != nullptr && Found->Status.CurrentState == State::InFlight)
    Found->Status.CurrentState = State::Claimed;
}

void KeyTable::end(const std::string &Key, State FinalState) {
  Entry *Found = this->findLive(Key);
  if (Found == nullptr)
    return;
  Found->Status.CurrentState = FinalState;
  --this->KeysByEpoch[Found->Epoch].Live;
  --this->Counts.Live;
}

void KeyTable::endCompleted(const std::string &Key,
                            std::shared_ptr<const StoredResponse> Response) {
  Entry *Found = this->findLive(Key);
  if (Found == nullptr)
    return;
  if (Response && Response->bytes() <= this->TableLimits.MaxResponseBytes) {
    this->Counts.ResponseBytes += Response->bytes();
    Found->Status.Response = std::move(Response);
  }
  this->end(Key, State::Completed);
}

void KeyTable::endUnknown(const std::string &Key) {
  this->end(Key, State::Unknown);
}

void KeyTable::endNotRun(const std::string &Key) {
  // A request in flight may have run, so its key can't end as NotRun.
  const Entry *Found = this->findLive(Key);
  const bool InFlight =
      Found != nullptr && Found->Status.CurrentState == State::InFlight;
  this->end(Key, InFlight ? State::Unknown : State::NotRun);
}

} // namespace siskinstage
