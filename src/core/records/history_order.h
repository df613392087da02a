#ifndef SISKINSTAGE_CORE_RECORDS_HISTORY_ORDER_H
#define SISKINSTAGE_CORE_RECORDS_HISTORY_ORDER_H

#include "siskinstage/units.h"

#include <optional>

namespace siskinstage {

// The order of what a node reads from the platform and of what it knows. The
// load: the platform returns from a copy some seconds old, in which records
// have older states, deleted records are back, and revisions are assigned
// again.

/// How a record was read from the platform.
enum class ReadSource {
  WholeRead, ///< With all others: it may be one that the copy had.
  Watch,     ///< Written after the whole read that the watch follows.
};

/// Whether the platform's state at \p Position is \p Known or an older one, by
/// the platform's order within one epoch.
bool isReached(const Revision &Position, const Revision &Known);

/// The revision under which a record is adopted that was read in revision
/// \p Read.
/// \param Known the revision of the known record of that name.
/// \returns nothing if the known record is as new.
std::optional<Revision> adoptableRevision(const Revision &Read,
                                          const Revision &Known,
                                          ReadSource Source);

/// The revision of a tombstone for a record that was deleted at \p Position.
/// \param Last the writer's version of the record; a copy of the record is
///             older than the tombstone in any epoch.
Revision deletedRevision(const Revision &Position, WriterVersion Last);

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_RECORDS_HISTORY_ORDER_H
