#ifndef SISKINSTAGE_CORE_REQUESTS_ACCOUNT_QUOTA_H
#define SISKINSTAGE_CORE_REQUESTS_ACCOUNT_QUOTA_H

#include "siskinstage/units.h"

#include <array>
#include <cstdint>

namespace siskinstage {

class Random;

/// What the fleet record states about all quotas.
struct QuotaBounds {
  Duration Window{};
  double Overage = 0;
  double Slack = 0; ///< Requests in a window.
};

/// Rate and burst of one account over all nodes.
struct QuotaLimits {
  double PerSecond = 0;
  double Burst = 0;
  bool operator==(const QuotaLimits &) const = default;
};

/// The limits that the buckets of all nodes together have: those of the account
/// and a part of what \p Bounds allow beyond them, as burst: it admits the
/// requests that arrive while claims follow the demand.
QuotaLimits limitsWithHeadroom(const QuotaLimits &Account,
                               const QuotaBounds &Bounds);

/// The token bucket and the claim of one account at one node. The load it
/// addresses: an account at several times its quota, spread unevenly over nodes
/// that can't ask each other about each request.
///
/// The claim is a fraction of rate and burst. At any time the bucket has at
/// most that fraction of the burst, so that buckets with claims of 1 in total
/// admit at most burst + rate x time, however the claims move.
class AccountQuota {
public:
  struct Decision {
    bool Admitted = false;
    Duration
        RetryAfter{}; ///< Time until the bucket has a token for the caller.
  };

  /// \param Total limits of all nodes together.
  /// \param Since when the claim began with an empty bucket, for an account
  /// that
  ///              had no request here before.
  AccountQuota(const QuotaLimits &Total, Instant Since);

  void configure(const QuotaLimits &Total, Instant Now);
  /// \param ValidUntil the claim, and the tokens, end unless it is set again.
  void setClaim(double Fraction, Instant ValidUntil, Instant Now);
  Decision admit(Instant Now, Random &Rng);
  /// Returns the token of a request that was refused for another reason.
  void giveBack();

  /// Takes a part of the tokens for a borrower. \returns their number.
  double takePart(double Part, Instant Now);
  /// Adds tokens of a lender.
  void add(double Count, Instant Now);

  /// Fraction of the limits that the demand of the last second needs.
  [[nodiscard]] double need(Instant Now) const;
  /// Fraction with which the bucket holds a whole token.
  [[nodiscard]] double leastClaim() const;
  /// Whether the bucket is so low that a larger claim would soon be used.
  [[nodiscard]] bool low(Instant Now) const;
  [[nodiscard]] bool full(Instant Now) const;
  [[nodiscard]] Instant validUntil() const { return this->ValidUntil; }
  [[nodiscard]] double tokens(Instant Now) const;
  [[nodiscard]] const QuotaLimits &limits() const { return this->Total; }
  [[nodiscard]] Instant lastDemand() const { return this->LastDemand; }

private:
  static constexpr std::size_t SlotCount = 50;
  static constexpr Millis SlotLength{100};

  QuotaLimits Total;
  double Fraction = 0;
  double Tokens = 0;
  Instant RefilledAt;
  Instant ValidUntil;
  Instant LastDemand;
  Instant NextFree; ///< When the last refused caller was told to return.
  std::array<std::uint32_t, SlotCount> Demand{};
  std::int64_t NewestSlot = 0;

  void refill(Instant Now);
  void countDemand(Instant Now);
  /// Requests in the latest \p Slots slots.
  [[nodiscard]] double demandIn(std::int64_t Slots, Instant Now) const;
  Duration timeToToken(Instant Now, Random &Rng);
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_REQUESTS_ACCOUNT_QUOTA_H
