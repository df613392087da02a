#ifndef SISKINSTAGE_CORE_REQUESTS_QUOTA_LOANS_H
#define SISKINSTAGE_CORE_REQUESTS_QUOTA_LOANS_H

#include "core/requests/quota_message.h"
#include "siskinstage/strong_id.h"
#include "siskinstage/units.h"

#include <map>
#include <optional>
#include <vector>

namespace siskinstage {

/// A loan that its borrower must be told to lower.
struct QuotaRecall {
  Address Node;
  std::uint64_t Echo = 0; ///< Request that it was the response to.
  QuotaParts Amount = 0;
};

/// The parts of one account's quota that a node has lent and borrowed. The load
/// it addresses: the demand of an account is at a few nodes and moves.
///
/// A loan ends at the borrower a fixed time after it sent the request, and is
/// reserved at the lender for that time from when the request arrived, which is
/// later. A borrower lowers its use before it states it. Lost, late and
/// repeated messages thus only leave some of the quota unused.
class QuotaLoans {
public:
  // Lender.

  /// Decides on a request of \p Node. \returns the loan.
  /// \param Spare part of the own claim that this node does not need.
  /// \param Free  part of the own claim that could be lent if nothing were.
  QuotaParts lend(const Address &Node, std::uint64_t Sequence,
                  const QuotaAsk &Asked, QuotaParts Spare, QuotaParts Free,
                  Duration Life, Instant Now);
  /// Lowers loans to the fair part of \p Spare that each borrower would get
  /// now, if one of them can't have its part.
  std::vector<QuotaRecall> makeFair(QuotaParts Spare, Instant Now);
  /// Lowers loans until they are at most \p Spare in total.
  std::vector<QuotaRecall> recall(QuotaParts Spare, Instant Now);
  /// What borrowers may still use.
  [[nodiscard]] QuotaParts lent(Instant Now) const;

  // Borrower.

  /// Sets what to borrow in total, and lowers the use at once if it is less.
  /// \param Share claim of each lender: so many of them are asked as are likely
  ///              to have enough, others at the next time.
  void setTarget(QuotaParts Total, const std::vector<Address> &Lenders,
                 QuotaParts Share, Instant Now);
  /// Whether a request to \p Node is due, or will be within \p Early.
  [[nodiscard]] bool due(const Address &Node, Duration Early,
                         Instant Now) const;
  /// Builds the ask of a request with the number \p Sequence.
  QuotaAsk ask(const Address &Node, std::uint64_t Sequence, Instant Now);
  /// Takes the loan of a response to that request.
  /// \param SentAt when that was sent; nothing if a later one was sent since,
  ///               so that the response may only lower the loan.
  /// \returns whether it is a new loan.
  bool borrow(const Address &Node, const QuotaResponse &Response,
              QuotaParts Amount, std::optional<Instant> SentAt, Instant Now);
  [[nodiscard]] QuotaParts borrowed(Instant Now) const;
  /// When the first loan in use ends; \p Until if that is earlier.
  [[nodiscard]] Instant validUntil(Instant Until, Instant Now) const;

  /// The process at \p Node has been replaced, which ends its part of all
  /// loans.
  void forgetProcess(const Address &Node);
  /// Removes what has ended. \returns whether anything is left.
  bool expire(Instant Now);

private:
  /// A loan of this node.
  struct Lent {
    std::uint64_t Sequence = 0;
    QuotaParts Amount = 0; ///< As last told.
    Instant Until;
    QuotaParts Earlier = 0; ///< Of earlier loans that may still be in use.
    Instant EarlierUntil;
    QuotaParts Wanted = 0;
    [[nodiscard]] QuotaParts reserved(Instant Now) const;
  };
  /// A loan to this node.
  struct Borrowed {
    QuotaParts Amount = 0;
    Instant Until;
    QuotaParts Wanted = 0;
    std::uint64_t Asked = 0; ///< Sequence of the latest request.
    bool Answered = true;
    bool Stated = true; ///< The lender has been told the use.
    Instant NextAsk;
    [[nodiscard]] QuotaParts usable(Instant Now) const;
  };

  std::map<Address, Lent> Loans;
  std::map<Address, Borrowed> Debts;
  Instant NextRound; ///< When more lenders are asked.
  Duration RoundInterval{};
  QuotaParts RoundHad = 0; ///< Borrowed at the last round.
  std::size_t NextLender = 0;

  void askMore(QuotaParts Missing, const std::vector<Address> &Lenders,
               QuotaParts Share, Instant Now);
  void lower(Lent &Loan, QuotaParts Amount, Instant Now);
  [[nodiscard]] QuotaParts wantedByBorrowers(Instant Now) const;
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_REQUESTS_QUOTA_LOANS_H
