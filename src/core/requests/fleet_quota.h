#ifndef SISKINSTAGE_CORE_REQUESTS_FLEET_QUOTA_H
#define SISKINSTAGE_CORE_REQUESTS_FLEET_QUOTA_H

#include "core/random.h"
#include "core/requests/account_quota.h"
#include "core/requests/quota_loans.h"
#include "core/requests/quota_shares.h"

#include <unordered_map>
#include <variant>

namespace siskinstage {

/// A message between the quotas of two nodes.
using QuotaMessage = std::variant<QuotaRequest, QuotaResponse>;

struct OutgoingQuota {
  Address To;
  QuotaMessage Message;
};

/// The quotas of all accounts at one node: shares, loans and buckets. The load
/// it addresses: see QuotaShares, QuotaLoans and AccountQuota. Not thread-safe.
class FleetQuota {
public:
  /// Figures for operators.
  struct Stats {
    std::size_t Accounts = 0;
    QuotaParts Claim = 0; ///< Own claim, without loans.
    std::uint32_t Claimants = 0;
    std::size_t Full = 0; ///< Accounts refused since the table was full.
  };
  /// What is known of one account.
  struct AccountView {
    QuotaParts Own = 0; ///< Own claim without what is lent.
    QuotaParts Borrowed = 0;
    QuotaParts Lent = 0;
    double Tokens = 0;
    double Need = 0; ///< Fraction of the quota.
  };

  FleetQuota(Address Self, Incarnation Process, Instant Now);

  QuotaShares &shares() { return this->Shares; }

  /// Admits a request of an account with these limits, headroom included.
  AccountQuota::Decision admit(QuotaAccount Account, const QuotaLimits &Total,
                               Instant Now);
  void giveBack(QuotaAccount Account);
  /// Advances to \p Now. \returns the messages to send.
  std::vector<OutgoingQuota> tick(Instant Now);
  /// Handles a message of the process \p Process at \p From.
  std::vector<OutgoingQuota> receive(const Address &From, Incarnation Process,
                                     const QuotaMessage &Message, Instant Now);
  [[nodiscard]] Stats stats() const;
  [[nodiscard]] AccountView view(QuotaAccount Account, Instant Now) const;

private:
  struct Peer {
    Incarnation Process;
    Incarnation Before;         ///< The process that it replaced.
    std::uint64_t Received = 0; ///< Sequence of its latest request.
    std::uint64_t Sent = 0;
    Instant SentAt;
    bool Waiting = false;       ///< For the response to that request.
    bool ToldClaim = false;     ///< It may count this node.
    bool ToldWithdrawn = false; ///< In that request.
  };
  struct Account {
    std::optional<AccountQuota> Bucket;
    QuotaLoans Loans;
  };

  Address Self;
  Random Rng;
  QuotaShares Shares;
  std::uint64_t NextSequence;
  std::map<Address, Peer> Peers;
  std::unordered_map<QuotaAccount, Account> Accounts;
  double SendTokens;
  Instant LastTick;
  std::size_t Full = 0;

  /// Takes note of the process at \p From. \returns false for a message of a
  /// process that has been replaced.
  bool notePeer(const Address &From, Incarnation Process);
  [[nodiscard]] QuotaParts needOf(const Account &Known, Instant Now) const;
  /// Part of the own claim that the account does not need here.
  [[nodiscard]] QuotaParts spareOf(const Account &Known, Instant Now) const;
  /// The own claim without what is lent.
  [[nodiscard]] QuotaParts ownPart(const Account &Known, Instant Now) const;
  void setClaim(Account &Known, Instant Now);
  void plan(QuotaAccount Id, Account &Known,
            const std::vector<Address> &Lenders, Instant Now,
            std::vector<OutgoingQuota> &Out);
  /// Claim of each node that may lend.
  [[nodiscard]] QuotaParts shareOfLenders() const;
  void sendRecalls(QuotaAccount Id, const std::vector<QuotaRecall> &Lowered,
                   std::vector<OutgoingQuota> &Out) const;
  std::optional<QuotaRequest> request(const Address &To, Instant Now);
  QuotaLoan lend(const Address &To, std::uint64_t Sequence,
                 const QuotaAsk &Asked, Duration Life, Instant Now,
                 std::vector<OutgoingQuota> &Out);
  void handle(const Address &From, const QuotaRequest &Request, Instant Now,
              std::vector<OutgoingQuota> &Out);
  void handle(const Address &From, const QuotaResponse &Response, Instant Now);
  [[nodiscard]] QuotaResponse newResponse(std::uint64_t Echo) const;
  /// Whether a loan of this node's claim may still be in use.
  [[nodiscard]] bool lends(Instant Now) const;
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_REQUESTS_FLEET_QUOTA_H
