#include "core/doubt.h"
#include "siskinstage/config.h"

namespace siskinstage {

double doubtHandicap(const Doubt &Of, std::uint32_t InFlight,
                     Repeatability Kind, Instant Now) {
  if (Of.Failures == 0)
    return 0;
  const bool Fresh = Now - Of.Last < config::DoubtLength;
  if (Fresh || InFlight > 0)
    return config::DoubtHandicap;
  return Kind == Repeatability::Repeatable ? 0 : config::TrialHandicap;
}

} // namespace siskinstage
