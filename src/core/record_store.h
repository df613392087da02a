#ifndef SISKINSTAGE_CORE_RECORD_STORE_H
#define SISKINSTAGE_CORE_RECORD_STORE_H

#include "siskinstage/config.h"
#include "siskinstage/record.h"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace siskinstage {

/// The records in force. A record is replaced only by one of a higher
/// revision; a tombstone counts as a record, so that a deleted one can't come
/// back from a stale source.
class RecordStore {
public:
  enum class Adoption {
    Adopted, ///< It is in force now.
    Same,    ///< This revision is in force already.
    Older,   ///< A higher revision is in force; nothing changed.
  };

  Adoption adopt(const Record &New);

  /// The record in force, or null; a tombstone is returned too.
  [[nodiscard]] const Record *find(const RecordKey &Key) const;
  [[nodiscard]] const std::map<RecordKey, Record> &all() const;
  /// The highest revision in force.
  [[nodiscard]] Revision highest() const;

  /// Same at two stores that hold the same revisions.
  [[nodiscard]] std::uint64_t digest() const;
  /// The same for each bucket of keys.
  [[nodiscard]] const std::vector<std::uint64_t> &bucketDigests() const;
  /// The records of one bucket.
  [[nodiscard]] std::vector<Record> bucket(std::size_t Number) const;

private:
  std::map<RecordKey, Record> Records;
  std::vector<std::set<RecordKey>> Buckets{config::DigestBuckets};
  std::vector<std::uint64_t> Digests =
      std::vector<std::uint64_t>(config::DigestBuckets, 0);
  Revision Highest;

  void note(const Record &New, const Record *Old);
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_RECORD_STORE_H
