#include "node/requests/key_owner.h"
#include "net/boot_time.h"
#include "siskinstage/config.h"

#include <algorithm>

namespace siskinstage {

namespace {

KeyTable::Limits tableLimits() {
  return {config::KeyTableCapacity, config::KeyTableBytes,
          config::MaxKeyResponseBytes, config::KeyEpochLength,
          config::KeyEpochsRetained};
}

bool hasEnded(const std::optional<KeyTable::View> &View) {
  return !View || (View->CurrentState != KeyTable::State::Claimed &&
                   View->CurrentState != KeyTable::State::InFlight);
}

/// Maximum time between two checks of a key.
constexpr std::chrono::milliseconds PollPeriod{50};

} // namespace

KeyOwner::KeyOwner(const AddressParts &OwnAddress, Incarnation Process)
    : OwnAddress(OwnAddress), Process(Process),
      Table(tableLimits(), bootNow()) {}

std::optional<std::string> KeyOwner::prefixForNewKeys(const KeyRing &Ring) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  const auto Epoch = this->Table.epochForNewKeys(bootNow());
  if (!Epoch)
    return std::nullopt;
  return formatKeyPrefix({this->OwnAddress, this->Process, *Epoch}, Ring);
}

bool KeyOwner::owns(const KeyPrefix &Prefix) const {
  return this->hasOwnAddress(Prefix) && Prefix.Process == this->Process;
}

bool KeyOwner::hasOwnAddress(const KeyPrefix &Prefix) const {
  return Prefix.Owner == this->OwnAddress;
}

KeyTable::Claim KeyOwner::claim(const RequestKey &Key, Fingerprint Request) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  return this->Table.claim(Key.Prefix.Epoch, Key.Text, Request, bootNow());
}

std::optional<KeyTable::View>
KeyOwner::awaitEnd(const std::string &Key,
                   const std::function<Instant()> &Limit) {
  std::unique_lock<std::mutex> Guard(this->Lock);
  while (true) {
    auto View = this->Table.find(Key);
    const Duration Left = timeLeft(Limit());
    if (hasEnded(View) || Left == Duration::zero())
      return View;
    this->Ended.wait_for(Guard, std::min<Duration>(Left, PollPeriod));
  }
}

void KeyOwner::setBodyHash(const std::string &Key, std::uint64_t Hash) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  this->Table.setBodyHash(Key, Hash);
}

bool KeyOwner::beginDispatch(const std::string &Key) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  return this->Table.beginDispatch(Key);
}

void KeyOwner::retractDispatch(const std::string &Key) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  this->Table.retractDispatch(Key);
}

void KeyOwner::endCompleted(const std::string &Key,
                            std::shared_ptr<const StoredResponse> Response) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  this->Table.endCompleted(Key, std::move(Response));
  this->Ended.notify_all();
}

void KeyOwner::endUnknown(const std::string &Key) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  this->Table.endUnknown(Key);
  this->Ended.notify_all();
}

void KeyOwner::endNotRun(const std::string &Key) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  this->Table.endNotRun(Key);
  this->Ended.notify_all();
}

KeyTable::Stats KeyOwner::stats() {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  return this->Table.stats();
}

} // namespace siskinstage
