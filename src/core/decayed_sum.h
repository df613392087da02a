#ifndef SISKINSTAGE_CORE_DECAYED_SUM_H
#define SISKINSTAGE_CORE_DECAYED_SUM_H

#include "siskinstage/units.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace siskinstage {

/// A sum whose terms lose weight exponentially with their age. At a steady rate
/// it is the amount added per decay time.
class DecayedSum {
public:
  /// \param DecayTime after which a term weighs 1/e.
  explicit DecayedSum(Duration DecayTime) : DecayTime(DecayTime) {}

  void add(double Amount, Instant Now) {
    this->Sum = std::max(0.0, this->value(Now) + Amount);
    this->At = std::max(this->At, Now);
  }
  [[nodiscard]] double value(Instant Now) const {
    if (Now <= this->At)
      return this->Sum;
    const std::chrono::duration<double> Age = Now - this->At;
    const std::chrono::duration<double> Decay = this->DecayTime;
    return this->Sum * std::exp(-Age.count() / Decay.count());
  }
  /// Amount per second.
  [[nodiscard]] double rate(Instant Now) const {
    return this->value(Now) /
           std::chrono::duration<double>(this->DecayTime).count();
  }

private:
  Duration DecayTime;
  double Sum = 0;
  Instant At;
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_DECAYED_SUM_H
