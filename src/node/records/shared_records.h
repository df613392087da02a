#ifndef SISKINSTAGE_NODE_RECORDS_SHARED_RECORDS_H
#define SISKINSTAGE_NODE_RECORDS_SHARED_RECORDS_H

#include "core/records/record_store.h"

#include <map>
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
  /// Notes that a record was passed to the decision thread.
  void expect(const RecordKey &Key, Revision Rev);
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
  /// The highest revision that is applied or was passed to the decision thread;
  /// it need not be read again.
  [[nodiscard]] Revision expectedRevision(const RecordKey &Key) const;
  /// Whether all records that were passed to the decision thread are applied.
  [[nodiscard]] bool allApplied() const;
  /// The keys and revisions of the records of one bucket.
  [[nodiscard]] std::vector<std::pair<RecordKey, Revision>>
  bucketRevisions(std::size_t Number) const;
  /// Only for the decision thread: as the sole writer it reads without a lock.
  [[nodiscard]] const RecordStore &unlocked() const { return this->Store; }

private:
  mutable std::shared_mutex Lock;
  RecordStore Store;
  /// Records on their way to the decision thread.
  std::map<RecordKey, Revision> Expected;
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_RECORDS_SHARED_RECORDS_H
