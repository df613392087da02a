#include "core/fleet/confirmed_view.h"
#include "core/fleet/confirmation_limits.h"

#include <algorithm>

namespace siskinstage {

void ConfirmedView::confirm(Instant At) {
  this->Confirmed = std::max(this->Confirmed.value_or(At), At);
}

void ConfirmedView::offer(Instant At, Revision Needed) {
  if (Needed <= this->Applied)
    this->confirm(At);
  else if (this->Pending.size() < config::MaxPendingConfirmations)
    this->Pending.push_back({At, Needed});
}

void ConfirmedView::setApplied(Revision Rev) {
  this->Applied = std::max(this->Applied, Rev);
  std::erase_if(this->Pending, [this](const PendingConfirmation &Waiting) {
    if (Waiting.Needed > this->Applied)
      return false;
    this->confirm(Waiting.At);
    return true;
  });
}

bool ConfirmedView::noteStoreRevision(Revision Seen) {
  const bool UpToDate = Seen.position() >= this->StoreRevision;
  this->StoreRevision = std::max(this->StoreRevision, Seen.position());
  return UpToDate;
}

std::optional<Duration> ConfirmedView::age(Instant Now) const {
  if (!this->Confirmed)
    return std::nullopt;
  return std::max(Now - *this->Confirmed, Duration::zero());
}

bool ConfirmedView::mayServeKeyed(Instant Now, Duration Limit) const {
  const auto Age = this->age(Now);
  return Age && *Age < std::chrono::duration_cast<Duration>(
                           Limit * config::ServedViewFraction);
}

} // namespace siskinstage
