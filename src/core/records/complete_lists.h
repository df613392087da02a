#ifndef SISKINSTAGE_CORE_RECORDS_COMPLETE_LISTS_H
#define SISKINSTAGE_CORE_RECORDS_COMPLETE_LISTS_H

#include "core/records/record_list.h"

#include <map>
#include <optional>
#include <vector>

namespace siskinstage {

class RecordStore;

/// Finds deletions of which this node got no tombstone. The load: nodes start
/// after a target has left, so that none of them has a tombstone, and compare
/// their records with a node that was frozen meanwhile and still has the
/// target. Not thread-safe.
class CompleteLists {
public:
  /// Notes that all records of the list's kind are known as of its revision.
  /// \returns tombstones for those of \p Known that the list lacks.
  std::vector<Record> add(const RecordList &List, const RecordStore &Known);
  /// Forgets the lists. For a node that no longer follows the platform.
  void clear();
  /// Returns the tombstone to apply in place of \p New, a record that another
  /// node sent, if a list shows that the record was deleted.
  [[nodiscard]] std::optional<Record>
  deletionOf(const Record &New, const RecordStore &Known) const;

private:
  std::map<RecordKind, Revision> CompleteAsOf;
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_RECORDS_COMPLETE_LISTS_H
