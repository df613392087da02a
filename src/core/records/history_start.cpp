#include "core/records/history_start.h"

#include <algorithm>

namespace siskinstage {

void HistoryStart::note(HistoryEpoch Epoch, Instant Noticed) {
  if (Epoch < this->Highest || Epoch == HistoryEpoch{})
    return;
  this->Noticed =
      Epoch == this->Highest ? std::min(this->Noticed, Noticed) : Noticed;
  this->Highest = Epoch;
}

std::optional<Instant> HistoryStart::noticed(HistoryEpoch Epoch) const {
  if (Epoch > this->Highest || this->Highest == HistoryEpoch{})
    return std::nullopt;
  return this->Noticed;
}

std::optional<EpochNotice> HistoryStart::notice(Instant Now,
                                                Duration MaxAge) const {
  if (this->Highest == HistoryEpoch{} || Now - this->Noticed > MaxAge)
    return std::nullopt;
  return EpochNotice{this->Highest, Now - this->Noticed};
}

} // namespace siskinstage
