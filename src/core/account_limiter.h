#ifndef SISKINSTAGE_CORE_ACCOUNT_LIMITER_H
#define SISKINSTAGE_CORE_ACCOUNT_LIMITER_H

#include "siskinstage/units.h"

#include <cstdint>

namespace siskinstage {

/// This node's part of one account's limits: a token bucket for the rate and a
/// count for the concurrency.
class AccountLimiter {
public:
  /// \param RatePerSecond this node's part of the rate; 0 for no limit.
  /// \param Concurrency   this node's part of the requests at once; 0 for no
  ///                      limit.
  void configure(double RatePerSecond, double Concurrency);

  /// Result of an admission.
  enum class Admission { Admitted, RateExceeded, ConcurrencyExceeded };

  Admission admit(Instant Now);
  /// Ends an admitted request.
  void release();
  /// Time until the next token of the rate, for Retry-After.
  [[nodiscard]] Duration timeUntilToken() const;
  [[nodiscard]] std::uint32_t inFlight() const { return this->InFlight; }

private:
  double Rate = 0;
  double MaxInFlight = 0;
  double Tokens = 0;
  Instant Filled;
  std::uint32_t InFlight = 0;
  bool Started = false;

  [[nodiscard]] double burst() const;
  void refill(Instant Now);
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_ACCOUNT_LIMITER_H
