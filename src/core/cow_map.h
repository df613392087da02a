#ifndef SISKINSTAGE_CORE_COW_MAP_H
#define SISKINSTAGE_CORE_COW_MAP_H

#include <cstddef>
#include <functional>
#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

namespace siskinstage {

/// A hash map with copy-on-write buckets: copies share all buckets that neither
/// has changed. A copy copies one pointer for each bucket, and a change copies
/// one bucket, so that each snapshot can hold its own map.
template <typename Key, typename Value> class CowMap {
public:
  /// The value of \p EntryKey, or null.
  [[nodiscard]] const Value *find(const Key &EntryKey) const {
    const auto &Current = this->Buckets[bucketOf(EntryKey)];
    if (!Current)
      return nullptr;
    const auto Found = Current->find(EntryKey);
    return Found == Current->end() ? nullptr : &Found->second;
  }

  void set(const Key &EntryKey, Value New) {
    auto Changed = this->copyBucket(bucketOf(EntryKey));
    const bool Added =
        Changed->insert_or_assign(EntryKey, std::move(New)).second;
    this->Count += Added ? 1 : 0;
    this->Buckets[bucketOf(EntryKey)] = std::move(Changed);
  }

  void erase(const Key &EntryKey) {
    if (this->find(EntryKey) == nullptr)
      return;
    auto Changed = this->copyBucket(bucketOf(EntryKey));
    Changed->erase(EntryKey);
    --this->Count;
    this->Buckets[bucketOf(EntryKey)] = std::move(Changed);
  }

  [[nodiscard]] std::size_t size() const { return this->Count; }

  /// Calls \p Visit with each key and value.
  template <typename Visitor> void forEach(const Visitor &Visit) const {
    for (const auto &Current : this->Buckets)
      if (Current)
        for (const auto &[StoredKey, StoredValue] : *Current)
          Visit(StoredKey, StoredValue);
  }

private:
  static constexpr std::size_t BucketCount = 1024;
  using Bucket = std::unordered_map<Key, Value>;
  std::vector<std::shared_ptr<const Bucket>> Buckets =
      std::vector<std::shared_ptr<const Bucket>>(BucketCount);
  std::size_t Count = 0;

  static std::size_t bucketOf(const Key &EntryKey) {
    return std::hash<Key>{}(EntryKey) % BucketCount;
  }
  std::shared_ptr<Bucket> copyBucket(std::size_t Number) const {
    const auto &Current = this->Buckets[Number];
    return Current ? std::make_shared<Bucket>(*Current)
                   : std::make_shared<Bucket>();
  }
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_COW_MAP_H
