#include "core/doubt.h"
#include "siskinstage/config.h"

#include <algorithm>

namespace siskinstage {

namespace {

/// What is left of a trial's handicap so long after the doubt.
double fadingHandicap(Duration Since) {
  const double Passed =
      static_cast<double>(Since.count()) /
      static_cast<double>(Duration(config::TrialFade).count());
  return config::TrialHandicap * std::max(0.0, 1.0 - Passed);
}

std::uint32_t weightOf(Evidence What) {
  if (What == Evidence::Overdue)
    return config::OverdueDoubt;
  return What == Evidence::Timeout ? config::SilenceDoubt
                                   : config::FailureDoubt;
}

} // namespace

std::uint32_t doubtAfter(std::uint32_t Units, Evidence What, bool Failed) {
  if (Failed)
    return std::min(Units + weightOf(What), config::MaxDoubt);
  const std::uint32_t Relief =
      What == Evidence::LateSuccess ? config::OverdueDoubt : 1;
  return Units - std::min(Units, Relief);
}

Duration doubtLength(std::uint32_t Units) {
  return config::DoubtStep * std::min(Units, config::MaxDoubt);
}

double doubtHandicap(const Doubt &Of, std::uint32_t InFlight,
                     Repeatability Kind, Instant Now) {
  if (Of.Units == 0)
    return 0;
  const Duration Since = Now - Of.Last - doubtLength(Of.Units) - Of.TrialDelay;
  if (Since < Duration::zero() || InFlight > 0)
    return config::DoubtHandicap;
  return Kind == Repeatability::Repeatable ? 0 : fadingHandicap(Since);
}

} // namespace siskinstage
