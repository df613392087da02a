#ifndef SISKINSTAGE_CORE_REQUESTS_ACCOUNT_SHARES_H
#define SISKINSTAGE_CORE_REQUESTS_ACCOUNT_SHARES_H

#include "core/decayed_sum.h"
#include "siskinstage/strong_id.h"
#include "siskinstage/units.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <unordered_map>

namespace siskinstage {

/// The load it addresses: an account at 6 to 10 times its usual rate.
///
/// Compares the work admitted for each account with its share: the fraction of
/// all work that it usually asks for.
class AccountShares {
public:
  /// A request arrived.
  void offered(const AccountName &Account, Duration Work, Instant Now);
  /// A request was admitted, or, with negative work, dropped again.
  void admitted(const AccountName &Account, Duration Work, Instant Now);
  /// Work admitted lately for the account, relative to its share; 1 if its part
  /// of what was admitted is its usual part of the load.
  /// \param Work of the request in question.
  [[nodiscard]] double overuse(const AccountName &Account, Duration Work,
                               Instant Now) const;
  [[nodiscard]] std::size_t size() const { return this->Accounts.size(); }

  /// Accounts beyond these are treated as if they used their share: some 3 MB.
  static constexpr std::size_t MaxAccounts = 16'384;
  /// Much longer than the bursts of an account.
  static constexpr Duration UsualTime = std::chrono::seconds(120);
  /// As long as the longest usual wait: what is admitted waits no longer.
  static constexpr Duration RecentTime = std::chrono::seconds(2);

private:
  struct Use {
    DecayedSum Usual = DecayedSum(UsualTime);
    DecayedSum Offered = DecayedSum(RecentTime);
    DecayedSum Recent = DecayedSum(RecentTime); ///< Admitted.
  };
  std::unordered_map<AccountName, Use> Accounts;
  Use All;
  Instant NextSweep;
  std::optional<Instant> Since; ///< The first request.

  /// Part of the work offered that counts as usual.
  [[nodiscard]] double usualPart(const Use &Of, Instant Now) const;
  /// Forgets accounts that have had no requests for long.
  void sweep(Instant Now);
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_REQUESTS_ACCOUNT_SHARES_H
