#ifndef SISKINSTAGE_CORE_REQUESTS_ACCOUNT_LIMITER_H
#define SISKINSTAGE_CORE_REQUESTS_ACCOUNT_LIMITER_H

#include "siskinstage/units.h"

#include <cstdint>

namespace siskinstage {

/// This node's share of the limits of one account: a token bucket for the rate
/// and a counter for the concurrency.
class AccountLimiter {
public:
  /// \param RatePerSecond this node's share of the rate, 0 for no limit.
  /// \param Concurrency   this node's share of the concurrency, 0 for no limit.
  void configure(double RatePerSecond, double Concurrency);

  /// Result of admit().
  enum class Admission { Admitted, RateExceeded, ConcurrencyExceeded };

  Admission admit(Instant Now);
  /// Ends an admitted request.
  void release();
  /// Time until the rate limit admits the next request, for Retry-After.
  [[nodiscard]] Duration timeUntilToken() const;
  [[nodiscard]] std::uint32_t inFlight() const { return this->InFlight; }

private:
  double Rate = 0;
  double MaxInFlight = 0;
  double Tokens = 0;
  Instant LastRefill;
  std::uint32_t InFlight = 0;
  bool Started = false;

  [[nodiscard]] double burst() const;
  void refill(Instant Now);
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_REQUESTS_ACCOUNT_LIMITER_H
