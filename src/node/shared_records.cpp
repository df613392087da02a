#include "node/shared_records.h"

#include <mutex>

namespace siskinstage {

using ReadLock = std::shared_lock<std::shared_mutex>;

RecordStore::Adoption SharedRecords::adopt(const Record &New) {
  const std::unique_lock<std::shared_mutex> Guard(this->Lock);
  return this->Store.adopt(New);
}

std::uint64_t SharedRecords::digest() const {
  const ReadLock Guard(this->Lock);
  return this->Store.digest();
}

std::vector<std::uint64_t> SharedRecords::bucketDigests() const {
  const ReadLock Guard(this->Lock);
  return this->Store.bucketDigests();
}

std::vector<std::shared_ptr<const std::string>>
SharedRecords::bucketTexts(std::size_t Number) const {
  const ReadLock Guard(this->Lock);
  std::vector<std::shared_ptr<const std::string>> Texts;
  for (const Record &Entry : this->Store.bucket(Number))
    Texts.push_back(Entry.Text);
  return Texts;
}

std::shared_ptr<const std::string>
SharedRecords::text(const RecordKey &Key) const {
  const ReadLock Guard(this->Lock);
  const Record *Found = this->Store.find(Key);
  return Found == nullptr ? nullptr : Found->Text;
}

Revision SharedRecords::revision(const RecordKey &Key) const {
  const ReadLock Guard(this->Lock);
  const Record *Found = this->Store.find(Key);
  return Found == nullptr ? Revision{} : Found->Rev;
}

std::vector<std::pair<std::string, Revision>>
SharedRecords::namesOf(RecordKind Kind) const {
  const std::shared_lock<std::shared_mutex> Guard(this->Lock);
  std::vector<std::pair<std::string, Revision>> Names;
  for (const auto &[Key, Entry] : this->Store.all())
    if (Key.Kind == Kind && !std::holds_alternative<Tombstone>(Entry.Body))
      Names.emplace_back(Key.Name, Entry.Rev);
  return Names;
}

} // namespace siskinstage
