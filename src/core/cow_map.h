#ifndef SISKINSTAGE_CORE_COW_MAP_H
#define SISKINSTAGE_CORE_COW_MAP_H

#include <cstddef>
#include <functional>
#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

namespace siskinstage {

/// A hash map whose copies share what they have in common: a copy costs little
/// and a change copies one bucket, whatever the size. So each snapshot can hold
/// a map of its own.
template <typename Key, typename Value> class CowMap {
public:
  /// The value at \p Where, or null.
  [[nodiscard]] const Value *find(const Key &Where) const {
    const auto &Held = this->Buckets[bucketOf(Where)];
    if (!Held)
      return nullptr;
    const auto Found = Held->find(Where);
    return Found == Held->end() ? nullptr : &Found->second;
  }

  void set(const Key &Where, Value New) {
    auto Changed = this->copyOf(bucketOf(Where));
    const bool Added = Changed->insert_or_assign(Where, std::move(New)).second;
    this->Count += Added ? 1 : 0;
    this->Buckets[bucketOf(Where)] = std::move(Changed);
  }

  void erase(const Key &Where) {
    if (this->find(Where) == nullptr)
      return;
    auto Changed = this->copyOf(bucketOf(Where));
    Changed->erase(Where);
    --this->Count;
    this->Buckets[bucketOf(Where)] = std::move(Changed);
  }

  [[nodiscard]] std::size_t size() const { return this->Count; }

  /// Calls \p Visit with each key and value.
  template <typename Visitor> void forEach(const Visitor &Visit) const {
    for (const auto &Held : this->Buckets)
      if (Held)
        for (const auto &[Where, Is] : *Held)
          Visit(Where, Is);
  }

private:
  static constexpr std::size_t BucketCount = 1024;
  using Bucket = std::unordered_map<Key, Value>;
  std::vector<std::shared_ptr<const Bucket>> Buckets =
      std::vector<std::shared_ptr<const Bucket>>(BucketCount);
  std::size_t Count = 0;

  static std::size_t bucketOf(const Key &Where) {
    return std::hash<Key>{}(Where) % BucketCount;
  }
  std::shared_ptr<Bucket> copyOf(std::size_t Number) const {
    const auto &Held = this->Buckets[Number];
    return Held ? std::make_shared<Bucket>(*Held) : std::make_shared<Bucket>();
  }
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_COW_MAP_H
