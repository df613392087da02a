#include "core/records/history_order.h"

#include <utility>

namespace siskinstage {

bool isReached(const Revision &Position, const Revision &Known) {
  return Position.Epoch == Known.Epoch && Position.Value <= Known.Value;
}

std::optional<Revision> adoptableRevision(const Revision &Read,
                                          const Revision &Known,
                                          ReadSource Source) {
  if (Read > Known)
    return Read;
  // The platform's own order proves that the record was written later, though
  // its writer states no higher version.
  const bool WrittenLater =
      Read.position() > Known.position() &&
      (Source == ReadSource::Watch || Read.Epoch == Known.Epoch);
  if (!WrittenLater)
    return std::nullopt;
  WriterVersion Writer = Known.Writer;
  if (std::exchange(Writer.Deleted, false))
    ++Writer.Count;
  return Revision{Read.Value, Read.Epoch, Writer};
}

Revision deletedRevision(const Revision &Position, WriterVersion Last) {
  Last.Deleted = Last.isStated();
  return {Position.Value, Position.Epoch, Last};
}

} // namespace siskinstage
