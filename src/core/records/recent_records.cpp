#include "core/records/recent_records.h"
#include "siskinstage/config.h"

#include <algorithm>
#include <xxhash.h>

namespace siskinstage {

namespace {

bool isRecent(Instant AppliedAt, Instant Now) {
  return Now - AppliedAt <= config::RecentRecordTime;
}

} // namespace

std::uint32_t recordMark(const RecordKey &Key, const Revision &Rev) {
  const std::string Text = Key.text() + "@" + std::to_string(Rev.Value) + "." +
                           std::to_string(Rev.Epoch.Value) + "." +
                           std::to_string(Rev.Writer.Process) + "." +
                           std::to_string(Rev.Writer.Count);
  return static_cast<std::uint32_t>(XXH3_64bits(Text.data(), Text.size()));
}

void RecentRecords::add(const RecordUpdate &Update, Instant Now) {
  std::erase_if(this->Entries, [&](const Entry &Item) {
    return Item.Update.Key == Update.Key || !isRecent(Item.AppliedAt, Now);
  });
  if (this->Entries.size() >= config::MaxRecentRecords)
    this->Entries.erase(this->Entries.begin());
  this->Entries.push_back({Update, recordMark(Update.Key, Update.Rev), Now});
}

std::vector<std::uint32_t> RecentRecords::marks(Instant Now) const {
  std::vector<std::uint32_t> Marks;
  for (auto Item = this->Entries.rbegin();
       Item != this->Entries.rend() && Marks.size() < config::MaxRecordMarks;
       ++Item)
    if (isRecent(Item->AppliedAt, Now))
      Marks.push_back(Item->Mark);
  return Marks;
}

std::vector<RecordUpdate>
RecentRecords::missingFrom(const std::vector<std::uint32_t> &Known,
                           Instant Now) const {
  std::vector<RecordUpdate> Missing;
  for (const Entry &Item : this->Entries)
    if (isRecent(Item.AppliedAt, Now) &&
        Missing.size() < config::MaxRequestedRecords &&
        std::find(Known.begin(), Known.end(), Item.Mark) == Known.end())
      Missing.push_back(Item.Update);
  return Missing;
}

} // namespace siskinstage
