#ifndef SISKINSTAGE_CORE_RECORD_STORE_H
#define SISKINSTAGE_CORE_RECORD_STORE_H

#include "siskinstage/record.h"

#include <map>

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

private:
  std::map<RecordKey, Record> Records;
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_RECORD_STORE_H
