#include "core/doubt.h"
#include "siskinstage/config.h"

#include <algorithm>

namespace siskinstage {

Duration doubtLength(std::uint32_t Failures) {
  return config::DoubtStep * std::min(Failures, config::MaxDoubt);
}

double doubtHandicap(const Doubt &Of, std::uint32_t InFlight,
                     Repeatability Kind, Instant Now) {
  if (Of.Failures == 0)
    return 0;
  const bool Fresh = Now - Of.Last < doubtLength(Of.Failures);
  if (Fresh || InFlight > 0)
    return config::DoubtHandicap;
  return Kind == Repeatability::Repeatable ? 0 : config::TrialHandicap;
}

} // namespace siskinstage
