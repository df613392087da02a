#include "core/record_store.h"

#include <algorithm>

namespace siskinstage {

RecordStore::Adoption RecordStore::adopt(const Record &New) {
  const auto [Found, Inserted] = this->Records.try_emplace(New.Key, New);
  if (Inserted)
    return Adoption::Adopted;
  if (New.Rev == Found->second.Rev)
    return Adoption::Same;
  if (New.Rev < Found->second.Rev)
    return Adoption::Older;
  Found->second = New;
  return Adoption::Adopted;
}

const Record *RecordStore::find(const RecordKey &Key) const {
  const auto Found = this->Records.find(Key);
  return Found == this->Records.end() ? nullptr : &Found->second;
}

const std::map<RecordKey, Record> &RecordStore::all() const {
  return this->Records;
}

Revision RecordStore::highest() const {
  Revision Highest;
  for (const auto &[Key, Held] : this->Records)
    Highest = std::max(Highest, Held.Rev);
  return Highest;
}

} // namespace siskinstage
