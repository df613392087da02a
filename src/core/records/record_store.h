#ifndef SISKINSTAGE_CORE_RECORDS_RECORD_STORE_H
#define SISKINSTAGE_CORE_RECORDS_RECORD_STORE_H

#include "siskinstage/config.h"
#include "siskinstage/record.h"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace siskinstage {

/// The records in force. A record is replaced only by one of a higher revision.
/// A tombstone is kept like any record, so that a deleted record can't come
/// back from a stale source. When the platform returns from a copy, all of its
/// targets have a new epoch; those that are unchanged only take over the
/// revision. Not thread-safe.
class RecordStore {
public:
  enum class Adoption {
    Adopted, ///< The record is now in force.
    Same,    ///< The record was in force already, perhaps from another epoch.
    Older,   ///< A higher revision is in force; nothing changed.
  };

  /// Adds or replaces a record if \p New has a higher revision.
  Adoption adopt(const Record &New);

  /// The record or tombstone in force, or null.
  [[nodiscard]] const Record *find(const RecordKey &Key) const;
  [[nodiscard]] const std::map<RecordKey, Record> &all() const;
  /// The highest position in the platform's history that is in force.
  [[nodiscard]] Revision highest() const;

  /// Hash of all records, equal at stores that hold the same ones. Targets are
  /// compared by content, all others by revision.
  [[nodiscard]] std::uint64_t digest() const;
  /// The same hash for each of config::DigestBuckets buckets of keys.
  [[nodiscard]] const std::vector<std::uint64_t> &bucketDigests() const;
  /// The records of one bucket; empty if there is no such bucket.
  [[nodiscard]] std::vector<Record> bucket(std::size_t Number) const;

private:
  std::map<RecordKey, Record> Records;
  std::vector<std::set<RecordKey>> Buckets{config::DigestBuckets};
  std::vector<std::uint64_t> Digests =
      std::vector<std::uint64_t>(config::DigestBuckets, 0);
  Revision Highest;

  void updateIndex(const Record &New, const Record *Old);
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_RECORDS_RECORD_STORE_H
