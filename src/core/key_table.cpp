#include "core/key_table.h"

#include <algorithm>
#include <utility>

namespace siskinstage {

KeyTable::KeyTable(const Limits &Most, Instant Now)
    : Most(Most), CurrentSince(Now) {}

bool KeyTable::full() const {
  return this->Counts.Entries >= this->Most.Capacity ||
         this->Counts.ResponseBytes >= this->Most.ResponseBytes;
}

void KeyTable::seal(Instant Now) {
  this->SealedAt[this->Current] = Now;
  ++this->Current.Value;
  this->CurrentSince = Now;
}

void KeyTable::forget(KeyEpoch Epoch) {
  const auto Keys = this->KeysOf.find(Epoch);
  if (Keys == this->KeysOf.end())
    return;
  for (const std::string &Key : Keys->second.Keys) {
    const auto Found = this->Entries.find(Key);
    if (Found->second.Is.Response)
      this->Counts.ResponseBytes -= Found->second.Is.Response->bytes();
    this->Entries.erase(Found);
  }
  this->Counts.Entries = this->Entries.size();
  this->KeysOf.erase(Keys);
}

void KeyTable::advance(Instant Now) {
  if (Now - this->CurrentSince >= this->Most.EpochLength)
    this->seal(Now);
  const Duration Kept = this->Most.EpochLength * this->Most.EpochsRetained;
  while (!this->SealedAt.empty()) {
    const auto [Oldest, Since] = *this->SealedAt.begin();
    if (Now - Since < Kept || this->KeysOf[Oldest].Live > 0)
      return;
    this->forget(Oldest);
    this->SealedAt.erase(this->SealedAt.begin());
    this->FirstKept.Value = Oldest.Value + 1;
  }
}

std::optional<KeyEpoch> KeyTable::epochForNewKeys(Instant Now) {
  this->advance(Now);
  if (this->full())
    return std::nullopt;
  return this->Current;
}

KeyTable::Claim KeyTable::claim(KeyEpoch Epoch, const std::string &Key,
                                Fingerprint Asked, Instant Now) {
  this->advance(Now);
  const auto Found = this->Entries.find(Key);
  if (Found != this->Entries.end()) {
    if (Found->second.Asked != Asked)
      return Claim::Mismatch;
    const State Is = Found->second.Is.Now;
    const bool Live = Is == State::Claimed || Is == State::InFlight;
    return Live ? Claim::Joined : Claim::Ended;
  }
  if (Epoch < this->FirstKept || Epoch > this->Current)
    return Claim::Expired;
  if (Epoch < this->Current)
    return Claim::Sealed;
  if (this->full()) {
    this->seal(Now);
    return Claim::Sealed;
  }
  this->Entries.emplace(Key, Entry{Epoch, Asked, View{}});
  EpochKeys &OfEpoch = this->KeysOf[Epoch];
  OfEpoch.Keys.push_back(Key);
  ++OfEpoch.Live;
  this->Counts.Entries = this->Entries.size();
  ++this->Counts.Live;
  return Claim::New;
}

std::optional<KeyTable::View> KeyTable::find(const std::string &Key) const {
  const auto Found = this->Entries.find(Key);
  if (Found == this->Entries.end())
    return std::nullopt;
  return Found->second.Is;
}

KeyTable::Entry *KeyTable::live(const std::string &Key) {
  const auto Found = this->Entries.find(Key);
  if (Found == this->Entries.end())
    return nullptr;
  const State Is = Found->second.Is.Now;
  const bool Live = Is == State::Claimed || Is == State::InFlight;
  return Live ? &Found->second : nullptr;
}

void KeyTable::setBodyHash(const std::string &Key, std::uint64_t Hash) {
  if (Entry *Found = this->live(Key))
    Found->Is.BodyHash = Hash;
}

bool KeyTable::beginDispatch(const std::string &Key) {
  Entry *Found = this->live(Key);
  if (Found == nullptr || Found->Is.Now != State::Claimed)
    return false;
  Found->Is.Now = State::InFlight;
  return true;
}

void KeyTable::retractDispatch(const std::string &Key) {
  Entry *Found = this->live(Key);
  if (Found != nullptr && Found->Is.Now == State::InFlight)
    Found->Is.Now = State::Claimed;
}

void KeyTable::end(const std::string &Key, State How) {
  Entry *Found = this->live(Key);
  if (Found == nullptr)
    return;
  Found->Is.Now = How;
  --this->KeysOf[Found->Epoch].Live;
  --this->Counts.Live;
}

void KeyTable::endCompleted(const std::string &Key,
                            std::shared_ptr<const StoredResponse> Response) {
  Entry *Found = this->live(Key);
  if (Found == nullptr)
    return;
  if (Response && Response->bytes() <= this->Most.MaxResponseBytes) {
    this->Counts.ResponseBytes += Response->bytes();
    Found->Is.Response = std::move(Response);
  }
  this->end(Key, State::Completed);
}

void KeyTable::endUnknown(const std::string &Key) {
  this->end(Key, State::Unknown);
}

void KeyTable::endNotRun(const std::string &Key) {
  // A key that is in flight may have run; it can't end as not run.
  const Entry *Found = this->live(Key);
  const bool InFlight = Found != nullptr && Found->Is.Now == State::InFlight;
  this->end(Key, InFlight ? State::Unknown : State::NotRun);
}

} // namespace siskinstage
