#include "core/targets/gray_penalty.h"
#include "siskinstage/config.h"

namespace siskinstage {

double grayPenalty(double Probability, std::uint32_t InFlight,
                   Repeatability Kind) {
  if (Probability >= config::SingleRequestThreshold && InFlight > 0)
    return config::SuspectedPenalty;
  const double Full = Probability * config::HangPenalty;
  return Kind == Repeatability::Repeatable
             ? Full * config::RepeatablePenaltyFactor
             : Full;
}

} // namespace siskinstage
