#include "core/requests/quota_loans.h"
#include "siskinstage/config.h"

#include <algorithm>

namespace siskinstage {

namespace {

/// First and last interval at which other nodes are asked for more: the first
/// is that of a response from another failure domain.
constexpr Millis RetryMin{120};
constexpr Millis RetryMax{4000};
/// Changes below this are not worth a message.
constexpr QuotaParts MinChange = WholeQuota / 500;
/// Part of its claim that a lender is expected to have to spare: a fifth, since
/// the demand of a busy account is at most nodes.
constexpr QuotaParts LendersPerShare = 5;
constexpr QuotaParts MinLenders = 2;

} // namespace

QuotaParts QuotaLoans::Lent::reserved(Instant Now) const {
  return std::max(Now < this->Until ? this->Amount : 0,
                  Now < this->EarlierUntil ? this->Earlier : 0);
}

QuotaParts QuotaLoans::Borrowed::usable(Instant Now) const {
  return Now < this->Until ? this->Amount : 0;
}

QuotaParts QuotaLoans::lent(Instant Now) const {
  QuotaParts Sum = 0;
  for (const auto &[Node, Loan] : this->Loans)
    Sum += Loan.reserved(Now);
  return Sum;
}

QuotaParts QuotaLoans::wantedByBorrowers(Instant Now) const {
  QuotaParts Sum = 0;
  for (const auto &[Node, Loan] : this->Loans)
    if (Now < Loan.Until)
      Sum += Loan.Wanted;
  return Sum;
}

QuotaParts QuotaLoans::lend(const Address &Node, std::uint64_t Sequence,
                            const QuotaAsk &Asked, QuotaParts Spare,
                            QuotaParts Free, Duration Life, Instant Now) {
  Lent &Loan = this->Loans[Node];
  // The borrower uses at most what it states, until it gets the response.
  Loan.Earlier = std::min(Loan.reserved(Now), Asked.Hold);
  Loan.EarlierUntil = std::max(Loan.Until, Loan.EarlierUntil);
  Loan.Amount = 0;
  Loan.Sequence = Sequence;
  Loan.Wanted = Asked.Ask;
  Loan.Until = Now + Life;
  const QuotaParts Wanted =
      std::max<QuotaParts>(this->wantedByBorrowers(Now), 1);
  QuotaParts Amount = std::min(Asked.Ask, Spare);
  // A renewal keeps its amount until another borrower is refused a part.
  if (Wanted > Spare && Asked.Ask > Asked.Hold)
    Amount = std::min(Amount, Spare * Asked.Ask / Wanted);
  const QuotaParts Others = this->lent(Now) - Loan.reserved(Now);
  Amount =
      std::clamp<QuotaParts>(Amount, 0, std::max<QuotaParts>(Free - Others, 0));
  Loan.Amount = Amount;
  return Amount;
}

void QuotaLoans::lower(Lent &Loan, QuotaParts Amount, Instant Now) {
  Loan.Earlier = Loan.reserved(Now);
  Loan.EarlierUntil = std::max(Loan.Until, Loan.EarlierUntil);
  Loan.Amount = Amount;
}

std::vector<QuotaRecall> QuotaLoans::makeFair(QuotaParts Spare, Instant Now) {
  std::vector<QuotaRecall> Lowered;
  const QuotaParts Wanted = this->wantedByBorrowers(Now);
  if (Wanted <= Spare)
    return Lowered;
  for (auto &[Node, Loan] : this->Loans) {
    const QuotaParts Part = Spare * Loan.Wanted / Wanted;
    if (Now >= Loan.Until || Loan.Amount <= Part + MinChange)
      continue;
    this->lower(Loan, Part, Now);
    Lowered.push_back({Node, Loan.Sequence, Part});
  }
  return Lowered;
}

std::vector<QuotaRecall> QuotaLoans::recall(QuotaParts Spare, Instant Now) {
  std::vector<QuotaRecall> Lowered;
  QuotaParts Sum = 0;
  for (const auto &[Node, Loan] : this->Loans)
    if (Now < Loan.Until)
      Sum += Loan.Amount;
  if (Sum <= Spare + MinChange)
    return Lowered;
  for (auto &[Node, Loan] : this->Loans) {
    if (Now >= Loan.Until || Loan.Amount == 0)
      continue;
    this->lower(Loan, Loan.Amount * std::max<QuotaParts>(Spare, 0) / Sum, Now);
    Lowered.push_back({Node, Loan.Sequence, Loan.Amount});
  }
  return Lowered;
}

void QuotaLoans::askMore(QuotaParts Missing,
                         const std::vector<Address> &Lenders, QuotaParts Share,
                         Instant Now) {
  const QuotaParts Have = this->borrowed(Now);
  // Lenders that had nothing are asked less and less often.
  this->RoundInterval =
      Have > this->RoundHad + MinChange
          ? RetryMin
          : std::clamp<Duration>(this->RoundInterval * 2, RetryMin, RetryMax);
  this->RoundHad = Have;
  this->NextRound = Now + this->RoundInterval;
  const auto Count = std::min<std::size_t>(
      Lenders.size(),
      static_cast<std::size_t>(MinLenders +
                               Missing * LendersPerShare /
                                   std::max<QuotaParts>(Share, MinChange)));
  for (std::size_t I = 0; I < Count; ++I) {
    const Address &Node = Lenders[this->NextLender++ % Lenders.size()];
    Borrowed &Debt = this->Debts[Node];
    Debt.Wanted = Debt.usable(Now) + Missing;
    Debt.NextAsk = std::min(Debt.NextAsk, Now);
  }
}

void QuotaLoans::setTarget(QuotaParts Total,
                           const std::vector<Address> &Lenders,
                           QuotaParts Share, Instant Now) {
  const QuotaParts Have = this->borrowed(Now);
  if (Total - Have > MinChange) {
    if (Now >= this->NextRound)
      this->askMore(Total - Have, Lenders, Share, Now);
    return;
  }
  this->RoundInterval = Duration::zero();
  // A part is given back only if a larger part is not used, since the demand
  // varies.
  const bool Excess = Have > Total + Total / 4 + MinChange;
  for (auto &[Node, Debt] : this->Debts) {
    const QuotaParts Usable = Debt.usable(Now);
    Debt.Wanted = Usable;
    if (Excess && Usable > 0) {
      Debt.Amount = Debt.Wanted = Usable * Total / Have;
      Debt.Stated = false;
      Debt.NextAsk = std::min(Debt.NextAsk, Now + RetryMin);
    }
  }
}

bool QuotaLoans::due(const Address &Node, Duration Early, Instant Now) const {
  const auto Found = this->Debts.find(Node);
  if (Found == this->Debts.end())
    return false;
  const Borrowed &Debt = Found->second;
  return Now >= Debt.NextAsk - Early &&
         (Debt.Wanted > 0 || Debt.usable(Now) > 0 || !Debt.Stated);
}

QuotaAsk QuotaLoans::ask(const Address &Node, std::uint64_t Sequence,
                         Instant Now) {
  Borrowed &Debt = this->Debts[Node];
  if (Debt.Amount > Debt.Wanted)
    Debt.Amount = Debt.Wanted;
  Debt.Asked = Sequence;
  Debt.Answered = false;
  Debt.Stated = true;
  Debt.NextAsk = Now + config::QuotaResponseTimeout;
  return {0, Debt.Wanted, Debt.usable(Now), 0, 0};
}

bool QuotaLoans::borrow(const Address &Node, const QuotaResponse &Response,
                        QuotaParts Amount, std::optional<Instant> SentAt,
                        Instant Now) {
  const auto Found = this->Debts.find(Node);
  if (Found == this->Debts.end() || Found->second.Asked != Response.Echo)
    return false;
  Borrowed &Debt = Found->second;
  const QuotaParts Usable = Debt.usable(Now);
  if (Debt.Answered) {
    // A second response to one request only lowers the loan. The lender has it
    // back when it is told so.
    if (Amount >= Usable)
      return false;
    Debt.Amount = Amount;
    Debt.Stated = false;
    Debt.NextAsk = Now;
    return false;
  }
  if (!SentAt)
    return false;
  const Millis Life(Response.LifeMs);
  const auto Renewal =
      std::chrono::duration_cast<Duration>(Life * config::QuotaRenewFraction);
  Debt.Answered = true;
  Debt.Amount = std::min(Amount, Debt.Wanted);
  Debt.Until = *SentAt + Life;
  // The lender reserves what was stated until it is told of a lower use.
  const bool Lowered = Debt.Amount + MinChange < Usable;
  Debt.Stated = !Lowered;
  Debt.NextAsk = Lowered ? Now : *SentAt + Renewal;
  if (Debt.Amount == 0)
    Debt.Wanted = 0; // Asked again in a later round.
  return true;
}

QuotaParts QuotaLoans::borrowed(Instant Now) const {
  QuotaParts Sum = 0;
  for (const auto &[Node, Debt] : this->Debts)
    Sum += Debt.usable(Now);
  return Sum;
}

Instant QuotaLoans::validUntil(Instant Until, Instant Now) const {
  for (const auto &[Node, Debt] : this->Debts)
    if (Debt.usable(Now) > 0)
      Until = std::min(Until, Debt.Until);
  return Until;
}

void QuotaLoans::forgetProcess(const Address &Node) {
  this->Loans.erase(Node);
  this->Debts.erase(Node);
}

bool QuotaLoans::expire(Instant Now) {
  std::erase_if(this->Loans, [Now](const auto &Item) {
    return Now >= Item.second.Until && Now >= Item.second.EarlierUntil;
  });
  std::erase_if(this->Debts, [Now](const auto &Item) {
    const Borrowed &Debt = Item.second;
    return Debt.usable(Now) == 0 && Debt.Wanted == 0 && Debt.Stated;
  });
  return !this->Loans.empty() || !this->Debts.empty();
}

} // namespace siskinstage
