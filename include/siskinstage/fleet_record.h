#ifndef SISKINSTAGE_FLEET_RECORD_H
#define SISKINSTAGE_FLEET_RECORD_H

#include "siskinstage/config.h"

#include <cstddef>
#include <string>

namespace siskinstage {

/// Settings of the fleet as a whole.
struct FleetRecord {
  std::string Name;
  /// Retries allowed as a share of first tries, 0 to 1.
  double RetryBudget = config::RetryBudgetFraction;
  /// Retries of one service that all nodes together may make beyond that share
  /// in a short time; zero gives each node a burst of its own.
  double RetryBurst = 0;
  /// How many entry instances one account is steered to.
  std::size_t EntriesPerAccount = config::EntriesPerAccount;
};

} // namespace siskinstage

#endif // SISKINSTAGE_FLEET_RECORD_H
