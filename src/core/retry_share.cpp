#include "core/retry_share.h"

#include <algorithm>

namespace siskinstage {

namespace {

/// Part of the burst for the entries and for all other nodes; the rest covers
/// nodes whose views of the members differ for a moment.
constexpr double EntriesPart = 0.65;
constexpr double OthersPart = 0.1;
/// Part of its burst that a process starts with: with it, all shares together
/// may be spent once more by a third when all nodes restart.
constexpr double StartPart = 1.0 / 3;
/// Part of the fraction that is spent; the rest covers requests that end before
/// they reach a target, which earn retries but do not count for the budget.
constexpr double FractionPart = 0.95;

} // namespace

RetryShare retryShare(const FleetRecord &Fleet, const FleetView &View) {
  if (Fleet.RetryBurst <= 0)
    return {Fleet.RetryBudget, config::RetryBudgetBurst,
            config::RetryBudgetBurst};
  const std::size_t Entries = View.Entries == 0 ? View.Live : View.Entries;
  const std::size_t Others = View.Live > Entries ? View.Live - Entries : 1;
  const double Burst =
      View.IsEntry
          ? Fleet.RetryBurst * EntriesPart / static_cast<double>(Entries)
          : Fleet.RetryBurst * OthersPart / static_cast<double>(Others);
  return {Fleet.RetryBudget * FractionPart, Burst, Burst * StartPart};
}

} // namespace siskinstage
