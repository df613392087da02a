#ifndef SISKINSTAGE_CORE_REQUESTS_QUOTA_MESSAGE_H
#define SISKINSTAGE_CORE_REQUESTS_QUOTA_MESSAGE_H

#include <cstdint>
#include <vector>

namespace siskinstage {

/// Claims are counted in millionths, so that all nodes compute with the same
/// whole numbers.
using QuotaParts = std::int64_t;
inline constexpr QuotaParts WholeQuota = 1'000'000;

/// Hash of an account's name.
using QuotaAccount = std::uint64_t;

/// What a node asks of another one for one account.
struct QuotaAsk {
  QuotaAccount Account = 0;
  QuotaParts Ask = 0; ///< Claim that it wants to borrow.
  /// Part of earlier loans that it uses at most until the response.
  QuotaParts Hold = 0;
  /// Rate and burst of the whole, for a lender without requests of the account.
  double PerSecond = 0;
  double Burst = 0;
};

/// Asks for loans, and whether the receiver is in contact.
struct QuotaRequest {
  std::uint64_t Sequence = 0; ///< Increases within a process.
  bool Claims = false; ///< The sender has a claim of its own or wants it.
  /// The sender has no claim any more and lends none: it is not counted on.
  bool Withdraws = false;
  /// How long the sender has wanted a claim of its own.
  std::uint64_t ClaimsForMs = 0;
  std::vector<QuotaAsk> Asks;
};

/// A loan to the sender of a request. It counts from when that was sent.
struct QuotaLoan {
  QuotaAccount Account = 0;
  QuotaParts Amount = 0;
  /// Unused requests of the lender that go with the loan, in thousandths.
  std::int64_t MilliTokens = 0;
};

/// Responds to a request, or lowers the loans of an earlier response.
struct QuotaResponse {
  std::uint64_t Echo = 0;   ///< Sequence of the request.
  std::uint32_t Nodes = 0;  ///< Claimants that the sender knows.
  bool KnownBefore = false; ///< It counted the receiver before it asked.
  std::uint64_t LifeMs = 0; ///< Of the loans.
  std::vector<QuotaLoan> Loans;
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_REQUESTS_QUOTA_MESSAGE_H
