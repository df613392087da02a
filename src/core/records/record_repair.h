#ifndef SISKINSTAGE_CORE_RECORDS_RECORD_REPAIR_H
#define SISKINSTAGE_CORE_RECORDS_RECORD_REPAIR_H

#include "siskinstage/units.h"

namespace siskinstage {

/// Decides how a node learns what it lacks when the digest of its records
/// differs from that of another node: it first requests the latest records,
/// with one message, and compares all records if that does not help. While
/// changes spread, digests differ for some milliseconds without any loss.
/// Not thread-safe.
class RecordRepair {
public:
  enum class Action {
    None,
    Request, ///< Request the latest records from the sender of the digest.
    Compare, ///< Compare all records with it.
  };

  /// Decides about the digest of a message that arrives at \p Now.
  Action onDigest(bool Differs, Instant Now);

private:
  bool Differing = false; ///< Since the last equal digest.
  Instant DifferingSince;
  Instant NextRequest;
  Instant NextComparison;
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_RECORDS_RECORD_REPAIR_H
