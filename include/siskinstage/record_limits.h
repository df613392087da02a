#ifndef SISKINSTAGE_RECORD_LIMITS_H
#define SISKINSTAGE_RECORD_LIMITS_H

#include "siskinstage/config.h"

#include <cstddef>
#include <cstdint>

/// Upper bounds of the fields of records. An adapter to a platform without such
/// bounds lowers larger values to them: beyond them, a value has no further
/// effect.
namespace siskinstage::record_limits {

inline constexpr std::uint64_t MaxSlots = 10'000;
inline constexpr std::uint64_t MaxWeight = 1'000'000;
inline constexpr std::uint64_t MaxAttempts = 100;
inline constexpr std::uint64_t MaxPriority = 1'000;
/// Of rates and bursts of accounts, in requests per second and requests.
inline constexpr double MaxRate = 1e9;
inline constexpr double MaxRetryBudget = 1;
inline constexpr double MaxRetryBurst = 1e6;
inline constexpr double MaxQuotaOverage = 10;
inline constexpr double MaxQuotaSlack = 1e6;
inline constexpr std::size_t MaxNameBytes = 200;
/// A day; a configuration in force for longer needs no limit.
inline constexpr std::uint64_t MaxRevocationLimitMs = 86'400'000;
/// Of timeouts, objectives and warm-ups: no request lasts longer.
inline constexpr std::uint64_t MaxDurationMs =
    static_cast<std::uint64_t>(config::MaxDeadline.count());

} // namespace siskinstage::record_limits

#endif // SISKINSTAGE_RECORD_LIMITS_H
