#include "node/records/shared_records.h"

#include <algorithm>
#include <mutex>

namespace siskinstage {

using ReadLock = std::shared_lock<std::shared_mutex>;

RecordStore::Adoption SharedRecords::adopt(const Record &New) {
  const std::unique_lock<std::shared_mutex> Guard(this->Lock);
  const auto Awaited = this->Expected.find(New.Key);
  if (Awaited != this->Expected.end() && Awaited->second <= New.Rev)
    this->Expected.erase(Awaited);
  return this->Store.adopt(New);
}

void SharedRecords::expect(const RecordKey &Key, Revision Rev) {
  const std::unique_lock<std::shared_mutex> Guard(this->Lock);
  // The decision thread may have applied the record meanwhile.
  const Record *Applied = this->Store.find(Key);
  if (Applied != nullptr && Rev <= Applied->Rev)
    return;
  Revision &Awaited = this->Expected[Key];
  Awaited = std::max(Awaited, Rev);
}

Revision SharedRecords::expectedRevision(const RecordKey &Key) const {
  const ReadLock Guard(this->Lock);
  const Record *Applied = this->Store.find(Key);
  const auto Awaited = this->Expected.find(Key);
  return std::max(Applied == nullptr ? Revision{} : Applied->Rev,
                  Awaited == this->Expected.end() ? Revision{}
                                                  : Awaited->second);
}

bool SharedRecords::allApplied() const {
  const ReadLock Guard(this->Lock);
  return this->Expected.empty();
}

std::vector<std::pair<RecordKey, Revision>>
SharedRecords::bucketRevisions(std::size_t Number) const {
  const ReadLock Guard(this->Lock);
  std::vector<std::pair<RecordKey, Revision>> Revisions;
  for (const Record &Entry : this->Store.bucket(Number))
    Revisions.emplace_back(Entry.Key, Entry.Rev);
  return Revisions;
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

} // namespace siskinstage
