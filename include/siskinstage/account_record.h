#ifndef SISKINSTAGE_ACCOUNT_RECORD_H
#define SISKINSTAGE_ACCOUNT_RECORD_H

#include "siskinstage/strong_id.h"

#include <cstdint>

namespace siskinstage {

/// A client account and its limits, which apply to the whole fleet.
struct AccountRecord {
  AccountName Name;
  double RatePerSecond = 0;      ///< Requests per second; 0 for no limit.
  std::uint32_t Concurrency = 0; ///< Concurrent requests; 0 for no limit.
};

} // namespace siskinstage

#endif // SISKINSTAGE_ACCOUNT_RECORD_H
