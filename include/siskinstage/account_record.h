#ifndef SISKINSTAGE_ACCOUNT_RECORD_H
#define SISKINSTAGE_ACCOUNT_RECORD_H

#include "siskinstage/key_digest.h"
#include "siskinstage/strong_id.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace siskinstage {

/// A client account and its limits, which apply to the whole fleet.
struct AccountRecord {
  AccountName Name;
  double RatePerSecond = 0;      ///< Requests per second; 0 for no limit.
  double Burst = 0;              ///< Requests beyond the rate at once.
  std::uint32_t Concurrency = 0; ///< Concurrent requests; 0 for no limit.
  /// Precedes the priority of routes; 0 is the highest.
  std::optional<std::uint32_t> Priority;
  /// API keys that identify the account; only those of a bundle have any.
  std::vector<KeyDigest> KeyDigests;
};

} // namespace siskinstage

#endif // SISKINSTAGE_ACCOUNT_RECORD_H
