#include "core/records/complete_lists.h"
#include "core/records/history_order.h"
#include "core/records/record_parser.h"
#include "core/records/record_store.h"

namespace siskinstage {

namespace {

bool isDeleted(const Record &Entry) {
  return std::holds_alternative<Tombstone>(Entry.Body);
}

/// The tombstone of \p Entry, which the platform did not have at \p AsOf.
Record deletionAsOf(const Record &Entry, const Revision &AsOf) {
  return makeTombstone(Entry.Key, deletedRevision(AsOf, Entry.Rev.Writer));
}

} // namespace

std::vector<Record> CompleteLists::add(const RecordList &List,
                                       const RecordStore &Known) {
  this->CompleteAsOf[List.Kind] = List.AsOf;
  std::vector<Record> Deletions;
  for (const auto &[Key, Entry] : Known.all())
    if (Key.Kind == List.Kind && Entry.Rev.position() < List.AsOf &&
        !isDeleted(Entry) && List.Names.count(Key.Name) == 0)
      Deletions.push_back(deletionAsOf(Entry, List.AsOf));
  return Deletions;
}

void CompleteLists::clear() { this->CompleteAsOf.clear(); }

std::optional<Record>
CompleteLists::deletionOf(const Record &New, const RecordStore &Known) const {
  const auto AsOf = this->CompleteAsOf.find(New.Key.Kind);
  if (AsOf == this->CompleteAsOf.end() || New.Rev.position() >= AsOf->second ||
      isDeleted(New))
    return std::nullopt;
  const Record *Current = Known.find(New.Key);
  const bool Replaceable =
      Current == nullptr || (isDeleted(*Current) && Current->Rev < New.Rev);
  if (!Replaceable)
    return std::nullopt;
  return deletionAsOf(New, AsOf->second);
}

} // namespace siskinstage
