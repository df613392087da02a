#ifndef SISKINSTAGE_CORE_RECORDS_REMOVAL_GRACE_H
#define SISKINSTAGE_CORE_RECORDS_REMOVAL_GRACE_H

#include "siskinstage/units.h"

namespace siskinstage {

/// Decides from when on an entry that the platform lacks was deleted, at a node
/// that reads the platform. The load: the platform is away or returns from an
/// older copy, and entries of live targets are missing until their writers
/// write them again; nodes notice it at different times, take over from one
/// another, or are cut off from the platform alone.
///
/// A node that reads without a failure sees for itself that the platform is
/// there, so that what other nodes report prolongs no grace time beyond Length
/// after its own reads began. Not thread-safe.
class RemovalGrace {
public:
  /// \param Length from the platform's return until entries that live are
  ///               written again.
  explicit RemovalGrace(Duration Length) : Length(Length) {}

  /// Notes that this node begins to read, and knows nothing of the time before.
  void beginReading(Instant Now);
  /// Lasts at least until \p Until: this node may not have heard of an outage.
  void hold(Instant Until);
  /// Notes that a read failed.
  void noteFailure(Instant Now);
  /// Notes that a read ended without a failure. After a failure the platform
  /// may have returned as late as this.
  void noteSuccess(Instant Now);
  /// Notes that another node can't read the platform, or could not a moment
  /// ago. \returns whether the grace time is longer than before.
  bool noteReportedOutage(Instant Now);
  /// Notes that the platform has returned from an older copy.
  /// \param Noticed when the first node of the fleet noticed it.
  /// \returns whether the grace time is longer than before.
  bool noteReturn(Instant Noticed, Instant Now);

  /// Entries that are missing in a read that begins at this time, or later,
  /// were deleted.
  [[nodiscard]] Instant end() const { return this->End; }
  [[nodiscard]] bool active(Instant Now) const { return Now < this->End; }

private:
  Duration Length;
  Instant End;
  /// Since then, no read of this node has failed.
  Instant ReadingSince;
  bool Failing = false; ///< The last read failed.

  /// \returns whether the grace time is active at \p Now and longer than
  /// before.
  bool prolong(Instant Until, Instant Now);
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_RECORDS_REMOVAL_GRACE_H
