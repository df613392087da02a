#ifndef SISKINSTAGE_NODE_RECORDS_READINESS_TRACKER_H
#define SISKINSTAGE_NODE_RECORDS_READINESS_TRACKER_H

#include "core/records/readiness.h"
#include "siskinstage/strong_id.h"
#include "siskinstage/units.h"

#include <set>

namespace siskinstage {

class RecordStore;
struct RecordBatch;
struct Settings;
struct Snapshot;

/// Keeps what is known of the configuration's age since the start, and marks
/// the snapshot as configured once callers may be served. Only for the decision
/// thread.
class ReadinessTracker {
public:
  ReadinessTracker(const Settings &Values, Instant Started);

  /// Notes what \p Batch tells of the platform and of compared nodes.
  void onRecords(const RecordBatch &Batch);
  /// \param Domains failure domains of the other live nodes in the instance
  ///                list.
  void onInstanceList(std::set<FailureDomain> Domains);
  /// \returns whether \p Next has changed.
  bool update(const RecordStore &Records, Instant Now, Snapshot &Next) const;

private:
  const Settings &Values;
  Instant Started;
  std::set<FailureDomain> ListedNodeDomains;
  /// Failure domains with a node whose records have been compared with those of
  /// this node.
  std::set<FailureDomain> ComparedDomains;
  bool InstanceListRead = false;
  bool PlatformRead = false;
  /// A complete read of the platform was known not to be stale.
  bool PlatformCurrent = false;

  [[nodiscard]] ReadinessFacts facts(const RecordStore &Records,
                                     Instant Now) const;
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_RECORDS_READINESS_TRACKER_H
