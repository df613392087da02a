#ifndef SISKINSTAGE_NODE_SHARED_RECORDS_H
#define SISKINSTAGE_NODE_SHARED_RECORDS_H

#include "core/record_store.h"

#include <memory>
#include <shared_mutex>
#include <string>
#include <vector>

namespace siskinstage {

/// The applied records, written by the decision thread alone and read by the
/// threads that send them to other nodes.
class SharedRecords {
public:
  /// Applies a record. Only for the decision thread.
  RecordStore::Adoption adopt(const Record &New);
  [[nodiscard]] std::uint64_t digest() const;
  [[nodiscard]] std::vector<std::uint64_t> bucketDigests() const;
  /// The texts of the records of one bucket.
  [[nodiscard]] std::vector<std::shared_ptr<const std::string>>
  bucketTexts(std::size_t Number) const;
  /// The text of a record, or null if the record is unknown.
  [[nodiscard]] std::shared_ptr<const std::string>
  text(const RecordKey &Key) const;
  /// The applied revision, or zero if the record is unknown.
  [[nodiscard]] Revision revision(const RecordKey &Key) const;
  /// Names and revisions of all records of one kind that are not deleted.
  [[nodiscard]] std::vector<std::pair<std::string, Revision>>
  namesOf(RecordKind Kind) const;
  /// Only for the decision thread: as the sole writer it reads without a lock.
  [[nodiscard]] const RecordStore &unlocked() const { return this->Store; }

private:
  mutable std::shared_mutex Lock;
  RecordStore Store;
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_SHARED_RECORDS_H
