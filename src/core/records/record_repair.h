#ifndef SISKINSTAGE_CORE_RECORDS_RECORD_REPAIR_H
#define SISKINSTAGE_CORE_RECORDS_RECORD_REPAIR_H

#include "siskinstage/units.h"

namespace siskinstage {

/// Decides how a node learns what it lacks when the digest of its records
/// differs from that of another node: it requests the latest records with one
/// message, and less often compares all records. It does both although other
/// digests are equal: a single node may have what all others lack.
/// Not thread-safe.
class RecordRepair {
public:
  /// What to do with the sender of a digest.
  struct Actions {
    bool Request = false; ///< Request the latest records.
    bool Compare = false; ///< Compare all records.
  };

  /// Decides about the digest of a message that arrives at \p Now.
  Actions onDigest(bool Differs, Instant Now);

private:
  Instant NextRequest;
  Instant NextComparison;
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_RECORDS_RECORD_REPAIR_H
