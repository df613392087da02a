#ifndef SISKINSTAGE_CORE_FLEET_CONFIRMED_VIEW_H
#define SISKINSTAGE_CORE_FLEET_CONFIRMED_VIEW_H

#include "siskinstage/units.h"

#include <optional>
#include <vector>

namespace siskinstage {

/// How new the configuration of this node is known to be. The load: an operator
/// revokes an API key while nodes are cut off, frozen or restarted, and no
/// request with that key may run anywhere once the revocation limit has passed.
///
/// The confirmed time is an instant at which the node's configuration was at
/// least as new as that of the store. It only rises, so the age never shows the
/// configuration newer than it is. Not thread-safe.
class ConfirmedView {
public:
  /// Confirms the configuration as of \p At, on this node's boot clock.
  void confirm(Instant At);
  /// Confirms the configuration as of \p At once revision \p Needed of its
  /// record is applied.
  void offer(Instant At, Revision Needed);
  /// Sets the revision of the configuration's record that requests see.
  void setApplied(Revision Rev);
  /// Notes a position in the platform's history, from a response of the store
  /// or of another node. \returns whether none that was seen before is higher;
  /// a response with a lower one shows an old state and confirms nothing.
  bool noteStoreRevision(Revision Seen);

  [[nodiscard]] Revision storeRevision() const { return this->StoreRevision; }
  [[nodiscard]] Revision applied() const { return this->Applied; }
  /// Whether a confirmation waits for a record that is not applied yet.
  [[nodiscard]] bool awaitsRecord() const { return !this->Pending.empty(); }
  /// Time since the confirmed time; nothing while there is none.
  [[nodiscard]] std::optional<Duration> age(Instant Now) const;
  /// Whether requests with an API key may run if a revocation must be in force
  /// within \p Limit.
  [[nodiscard]] bool mayServeKeyed(Instant Now, Duration Limit) const;

private:
  /// A confirmation that waits for a revision.
  struct PendingConfirmation {
    Instant At;
    Revision Needed;
  };

  std::optional<Instant> Confirmed;
  Revision Applied;
  Revision StoreRevision;                   ///< The highest position seen.
  std::vector<PendingConfirmation> Pending; ///< Bounded; the oldest stay.
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_FLEET_CONFIRMED_VIEW_H
