#ifndef SISKINSTAGE_FLEET_RECORD_H
#define SISKINSTAGE_FLEET_RECORD_H

#include "siskinstage/config.h"
#include "siskinstage/units.h"

#include <cstddef>
#include <string>

namespace siskinstage {

/// Settings of the fleet as a whole.
struct FleetRecord {
  std::string Name;
  /// Maximum number of retries per first attempt, 0 to 1.
  double RetryBudget = config::RetryBudgetFraction;
  /// Retries of one service beyond that ratio that all nodes together may make
  /// in a burst; zero gives each node its own config::RetryBudgetBurst.
  double RetryBurst = 0;
  /// Bounds on the requests of an account with a quota: in each window at most
  /// (rate x window + burst) x (1 + overage) + slack run.
  std::chrono::milliseconds QuotaWindow = config::QuotaWindow;
  double QuotaOverage = config::QuotaOverage;
  double QuotaSlack = config::QuotaSlack;
  /// Entry nodes that the callers of one account are steered to.
  std::size_t EntriesPerAccount = config::EntriesPerAccount;
  /// Longest time after which no node runs requests with a revoked API key;
  /// zero for no limit.
  Millis RevocationLimit{};
};

} // namespace siskinstage

#endif // SISKINSTAGE_FLEET_RECORD_H
