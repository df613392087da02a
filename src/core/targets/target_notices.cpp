#include "core/targets/target_notices.h"

#include <algorithm>
#include <utility>

namespace siskinstage {

TargetNotices::Effect TargetNotices::hear(const StatedNotices &Stated,
                                          Instant Sent,
                                          const RateLimitSource &Self,
                                          bool NotRun, Instant Now) {
  Effect Result;
  const RateLimitState Before = this->Limit.state();
  if (const auto *Rate = Stated.find<RateLimitNotice>())
    Result.Tell = this->Limit.hear(Rate->PerSecond, Sent, Self, Now);
  else if (Stated.NoRateLimit && !NotRun)
    Result.Tell = this->Limit.hear(std::nullopt, Sent, Self, Now);
  Result.RateLimitChanged = this->Limit.state() != Before;
  if (const auto *BackOff = Stated.find<BackOffNotice>()) {
    Result.BackOffStarted = Now >= this->BackOffEnd;
    this->BackOffEnd = std::max(this->BackOffEnd, Now + BackOff->Length);
  }
  Result.Leaving = Stated.find<LeavingNotice>() != nullptr;
  if (!Stated.Faults.empty())
    Result.FirstFault = !std::exchange(this->FaultSeen, true);
  return Result;
}

bool TargetNotices::allows(Instant Now) const {
  return Now >= this->BackOffEnd && this->Limit.allows(Now);
}

Duration TargetNotices::backOffLeft(Instant Now) const {
  return std::max(this->BackOffEnd - Now, Duration::zero());
}

bool TargetNotices::restricts(Instant Now) const {
  return this->Limit.limited() || Now < this->BackOffEnd;
}

} // namespace siskinstage
