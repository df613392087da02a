#ifndef SISKINSTAGE_CORE_RECORDS_HISTORY_START_H
#define SISKINSTAGE_CORE_RECORDS_HISTORY_START_H

#include "siskinstage/units.h"

#include <optional>

namespace siskinstage {

/// Notice that the platform's history has a new epoch, as a node tells it.
struct EpochNotice {
  HistoryEpoch Epoch;
  Duration Age{}; ///< Since the first node noticed it.
};

/// When the platform's history began its present epoch, that is, when the first
/// node of the fleet noticed the platform's return from an older copy. The
/// load: nodes notice a return seconds after each other, and must not count its
/// consequences from then on. Not thread-safe.
class HistoryStart {
public:
  /// Notes that \p Epoch was noticed at \p Noticed, by this or another node.
  void note(HistoryEpoch Epoch, Instant Noticed);
  /// When \p Epoch, or a higher one, was first noticed.
  /// \returns nothing if neither is known as new.
  [[nodiscard]] std::optional<Instant> noticed(HistoryEpoch Epoch) const;
  /// What to tell other nodes: nothing if it is older than \p MaxAge.
  [[nodiscard]] std::optional<EpochNotice> notice(Instant Now,
                                                  Duration MaxAge) const;

private:
  HistoryEpoch Highest;
  Instant Noticed; ///< Only if Highest is not zero.
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_RECORDS_HISTORY_START_H
