#ifndef SISKINSTAGE_CORE_RECORDS_RECENT_RECORDS_H
#define SISKINSTAGE_CORE_RECORDS_RECENT_RECORDS_H

#include "core/fleet/gossip_message.h"
#include "siskinstage/units.h"

#include <cstdint>
#include <vector>

namespace siskinstage {

/// The records that were applied lately, by which nodes find out with one
/// message which of them another node lacks. The load: an update is lost on a
/// busy link, and a comparison of all records takes longer than callers may
/// wait for it. Not thread-safe.
class RecentRecords {
public:
  /// Notes that a record was applied.
  void add(const RecordUpdate &Update, Instant Now);
  /// The marks of the latest records, at most config::MaxRecordMarks.
  [[nodiscard]] std::vector<std::uint32_t> marks(Instant Now) const;
  /// The records whose marks are not among \p Known, in the order in which they
  /// were applied, at most config::MaxRequestedRecords.
  [[nodiscard]] std::vector<RecordUpdate>
  missingFrom(const std::vector<std::uint32_t> &Known, Instant Now) const;

private:
  struct Entry {
    RecordUpdate Update;
    std::uint32_t Mark = 0;
    Instant AppliedAt;
  };

  std::vector<Entry> Entries; ///< In the order in which they were applied.
};

/// A hash of the key and revision of a record. Two records with one mark are
/// told apart by the comparison of all records.
std::uint32_t recordMark(const RecordKey &Key, const Revision &Rev);

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_RECORDS_RECENT_RECORDS_H
