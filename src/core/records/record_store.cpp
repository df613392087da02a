#include "core/records/record_store.h"
#include "core/records/revision_codec.h"

#include <algorithm>
#include <json/writer.h>
#include <xxhash.h>

namespace siskinstage {

namespace {

std::uint64_t hashOf(const std::string &Text) {
  return XXH3_64bits(Text.data(), Text.size());
}

std::size_t bucketOf(const RecordKey &Key) {
  return hashOf(Key.text()) % config::DigestBuckets;
}

std::string revisionText(const Revision &Rev) {
  Json::Value Object(Json::objectValue);
  writeRevision(Rev, "r", Object);
  return Json::writeString(Json::StreamWriterBuilder(), Object);
}

std::string targetText(const TargetRecord &Target) {
  const TargetSpec &Spec = Target.Spec;
  std::string Text;
  for (const std::string &Part :
       {Target.Service.str(), Spec.Endpoint.str(), Spec.Domain.str(),
        std::to_string(Spec.Capacity.Value), std::to_string(Spec.Leaving),
        std::to_string(Spec.Warmup.count()),
        std::to_string(Spec.Process.Value)})
    Text += Part + "\n";
  return Text;
}

std::uint64_t digestOf(const Record &Stored) {
  const auto *Target = std::get_if<TargetRecord>(&Stored.Body);
  return hashOf(
      Stored.Key.text() + "@" +
      (Target != nullptr ? targetText(*Target) : revisionText(Stored.Rev)));
}

/// Whether both are the same target in different epochs.
bool isSameTarget(const Record &New, const Record &Old) {
  const auto *NewTarget = std::get_if<TargetRecord>(&New.Body);
  const auto *OldTarget = std::get_if<TargetRecord>(&Old.Body);
  return New.Rev.Epoch != Old.Rev.Epoch && NewTarget != nullptr &&
         OldTarget != nullptr && *NewTarget == *OldTarget;
}

} // namespace

void RecordStore::updateIndex(const Record &New, const Record *Old) {
  const std::size_t Bucket = bucketOf(New.Key);
  this->Digests[Bucket] ^= digestOf(New);
  if (Old != nullptr)
    this->Digests[Bucket] ^= digestOf(*Old);
  this->Buckets[Bucket].insert(New.Key);
  this->Highest = std::max(this->Highest, New.Rev.position());
}

RecordStore::Adoption RecordStore::adopt(const Record &New) {
  const auto [Found, Inserted] = this->Records.try_emplace(New.Key, New);
  if (Inserted) {
    this->updateIndex(New, nullptr);
    return Adoption::Adopted;
  }
  if (New.Rev == Found->second.Rev)
    return Adoption::Same;
  if (New.Rev < Found->second.Rev)
    return Adoption::Older;
  const bool Unchanged = isSameTarget(New, Found->second);
  this->updateIndex(New, &Found->second);
  Found->second = New;
  return Unchanged ? Adoption::Same : Adoption::Adopted;
}

const Record *RecordStore::find(const RecordKey &Key) const {
  const auto Found = this->Records.find(Key);
  return Found == this->Records.end() ? nullptr : &Found->second;
}

const std::map<RecordKey, Record> &RecordStore::all() const {
  return this->Records;
}

Revision RecordStore::highest() const { return this->Highest; }

std::uint64_t RecordStore::digest() const {
  std::uint64_t Digest = 0;
  for (const std::uint64_t BucketDigest : this->Digests)
    Digest ^= BucketDigest;
  return Digest;
}

const std::vector<std::uint64_t> &RecordStore::bucketDigests() const {
  return this->Digests;
}

std::vector<Record> RecordStore::bucket(std::size_t Number) const {
  std::vector<Record> BucketRecords;
  if (Number >= this->Buckets.size())
    return BucketRecords;
  for (const RecordKey &Key : this->Buckets[Number])
    BucketRecords.push_back(this->Records.at(Key));
  return BucketRecords;
}

} // namespace siskinstage
