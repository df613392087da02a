#include "core/gray_penalty.h"
#include "siskinstage/config.h"

namespace siskinstage {

double grayPenalty(double Chance, std::uint32_t InFlight, Repeatability Kind) {
  if (Chance >= config::SingleRequestThreshold && InFlight > 0)
    return config::SuspectedPenalty;
  const double Whole = Chance * config::HangPenalty;
  return Kind == Repeatability::Repeatable
             ? Whole * config::RepeatablePenaltyFactor
             : Whole;
}

bool isTrialDue(double Chance, Duration Idle) {
  return Idle >= config::TrialIdleTime &&
         Chance < config::TrialMaxGrayProbability;
}

} // namespace siskinstage
