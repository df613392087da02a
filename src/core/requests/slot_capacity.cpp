#include "core/requests/slot_capacity.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace siskinstage {

namespace {

/// Shorter than the usual wait, so that lost slots are noticed before the
/// requests that wait for them are late.
constexpr std::chrono::duration<double> LearnTime(1.0);
/// Without waiting requests nothing shows how much the slots could start; an
/// old estimate is given up in the length of a usual shortage.
constexpr std::chrono::duration<double> ForgetTime(10.0);
/// Slots become free irregularly; samples of less time say little.
constexpr Duration MinSample = std::chrono::milliseconds(50);
constexpr double MinFraction = 0.02;
/// Estimates of work may be this far too high.
constexpr double MaxFraction = 4;

} // namespace

void SlotCapacity::advance(Instant Now, std::uint32_t Slots, bool Waits) {
  const Duration Passed =
      std::max(Duration::zero(), Now - std::exchange(this->Last, Now));
  this->Slots = Slots;
  if (!Waits) {
    this->StartedWork = Duration::zero();
    this->WaitTime = Duration::zero();
    if (this->UsableFraction < 1)
      this->UsableFraction +=
          (1 - this->UsableFraction) * -std::expm1(-Passed / ForgetTime);
    return;
  }
  this->WaitTime += Passed;
  if (this->WaitTime < MinSample || Slots == 0)
    return;
  const double Sample = std::chrono::duration<double>(this->StartedWork) /
                        (std::chrono::duration<double>(this->WaitTime) * Slots);
  this->UsableFraction += (Sample - this->UsableFraction) *
                          -std::expm1(-this->WaitTime / LearnTime);
  this->UsableFraction =
      std::clamp(this->UsableFraction, MinFraction, MaxFraction);
  this->StartedWork = Duration::zero();
  this->WaitTime = Duration::zero();
}

} // namespace siskinstage
