#ifndef SISKINSTAGE_CORE_REQUESTS_WAITING_REQUEST_H
#define SISKINSTAGE_CORE_REQUESTS_WAITING_REQUEST_H

#include "siskinstage/strong_id.h"
#include "siskinstage/units.h"

#include <compare>
#include <cstdint>

namespace siskinstage {

/// Identifies a request in one WaitQueue. The caller chooses it; it is unique
/// among the requests that wait there.
struct WaitId {
  std::uint64_t Value = 0;
  auto operator<=>(const WaitId &) const = default;
};

/// A request that waits for a slot at a target.
struct WaitingRequest {
  WaitId Id;
  AccountName Account;        ///< Empty for a request without an account.
  std::uint32_t Priority = 0; ///< 0 is the highest.
  Instant Arrived;
  Instant Deadline;
  /// When its response loses value; the epoch if the route has no objective.
  Instant Objective;
  Duration Work{};         ///< Estimated time at a target.
  std::uint64_t Bytes = 0; ///< Memory held while it waits.
};

/// Slots that a service has for the requests of one node.
struct Room {
  std::uint32_t Slots = 0; ///< At admitted targets, in use or free.
  std::uint32_t Free = 0;  ///< Of these, free now.
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_REQUESTS_WAITING_REQUEST_H
