#include "core/targets/unserved_fraction.h"

#include <algorithm>
#include <cmath>

namespace siskinstage {

namespace {

constexpr Duration MaxLoadAge = 2 * Duration(config::UnservedDecayTime);

/// Weight of what was not served \p Age ago.
double weightOf(Duration Age) {
  const Duration Decay = config::UnservedDecayTime;
  return std::exp(-static_cast<double>(Age.count()) /
                  static_cast<double>(Decay.count()));
}

} // namespace

ServiceLoad UnservedFraction::own(Instant Now) const {
  return {this->Arrivals.rate(Now), this->Unserved.rate(Now)};
}

void UnservedFraction::adopt(const Address &From, const ServiceLoad &Load,
                             Instant Now) {
  std::erase_if(this->Others, [Now](const auto &Entry) {
    return Now - Entry.second.At > MaxLoadAge;
  });
  if (Load.ArrivalsPerSecond > 0)
    this->Others[From] = {Load, Now};
}

double UnservedFraction::value(std::size_t Nodes, Instant Now) const {
  ServiceLoad Sum = this->own(Now);
  std::size_t Known = 1;
  for (const auto &[From, Other] : this->Others) {
    if (Now - Other.At > MaxLoadAge)
      continue;
    Sum.ArrivalsPerSecond += Other.Load.ArrivalsPerSecond;
    Sum.UnservedPerSecond +=
        Other.Load.UnservedPerSecond * weightOf(Now - Other.At);
    ++Known;
  }
  if (Sum.ArrivalsPerSecond <= 0)
    return 0;
  const double Scale =
      static_cast<double>(std::max(Nodes, Known)) / static_cast<double>(Known);
  return std::min(1.0, Sum.UnservedPerSecond / (Sum.ArrivalsPerSecond * Scale));
}

} // namespace siskinstage
