#include "core/targets/target_room.h"
#include "siskinstage/config.h"

#include <algorithm>
#include <cmath>

namespace siskinstage {

namespace {

double usableSlots(const TargetRoom &Target, Duration Median) {
  if (Target.BackOffLeft > Duration::zero())
    return 0;
  if (!Target.Limited || Median == Duration::zero())
    return Target.Slots;
  const std::chrono::duration<double> Seconds = Median;
  return std::min(Target.Slots, Target.SharePerSecond * Seconds.count());
}

} // namespace

Room roomOf(const std::vector<TargetRoom> &Targets, Duration Median) {
  double Slots = 0;
  double Free = 0;
  for (const TargetRoom &Target : Targets) {
    const double Usable = usableSlots(Target, Median);
    Slots += Usable;
    if (Target.MayReceive)
      Free += std::max(0.0, Usable - Target.InFlight);
  }
  // A fraction of a slot is room for a request now and then.
  return {static_cast<std::uint32_t>(std::ceil(Slots)),
          static_cast<std::uint32_t>(Free)};
}

std::optional<Duration> restrictedWait(const std::vector<TargetRoom> &Targets,
                                       std::size_t Ahead, Duration Longest) {
  Duration Wait = config::MaxNoticeRetryAfter;
  double Rate = 0;
  for (const TargetRoom &Target : Targets) {
    if (Target.BackOffLeft == Duration::zero())
      Rate += Target.SharePerSecond;
    else if (!Target.Limited)
      Wait = std::min(Wait, Target.BackOffLeft);
  }
  if (Rate > 0)
    Wait = std::min<Duration>(
        Wait,
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
            static_cast<double>(Ahead + 1) / Rate)));
  if (Wait <= Longest)
    return std::nullopt;
  return Wait;
}

} // namespace siskinstage
