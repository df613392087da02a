#include "core/requests/retry_share.h"

#include <algorithm>

namespace siskinstage {

namespace {

/// Fractions of the burst for the entries and for all other nodes. The rest is
/// a margin for the time in which the nodes' views of the members differ.
constexpr double EntriesFraction = 0.65;
constexpr double OthersFraction = 0.1;
/// Fraction of its burst that a process starts with: if all nodes restart, at
/// most a third of the burst can be used once more.
constexpr double StartFraction = 1.0 / 3;
/// Fraction of the configured retry ratio that is used. The rest is a margin
/// for requests that end before they reach a target: they add retries to the
/// bucket, but do not count as first attempts in the fleet's budget.
constexpr double UsedFraction = 0.95;

} // namespace

RetryShare retryShare(const FleetRecord &Fleet, const FleetView &View) {
  if (Fleet.RetryBurst <= 0)
    return {Fleet.RetryBudget, config::RetryBudgetBurst,
            config::RetryBudgetBurst};
  const std::size_t Entries = View.Entries == 0 ? View.Live : View.Entries;
  const std::size_t Others = View.Live > Entries ? View.Live - Entries : 1;
  const double Burst =
      View.IsEntry
          ? Fleet.RetryBurst * EntriesFraction / static_cast<double>(Entries)
          : Fleet.RetryBurst * OthersFraction / static_cast<double>(Others);
  return {Fleet.RetryBudget * UsedFraction, Burst, Burst * StartFraction};
}

} // namespace siskinstage
