#include "core/requests/account_shares.h"

#include <algorithm>
#include <cmath>

namespace siskinstage {

namespace {

double seconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

/// Requests of an account that count as no overuse: one that sends a request
/// now and then has sometimes several at once.
constexpr double AllowedRequests = 4;
/// An account without a usual rate gets this part of an equal share.
constexpr double NewAccountShare = 0.25;
/// What an account offers beyond this times its usual rate does not count as
/// usual: a burst hardly raises its share, and a lasting growth does within
/// some minutes.
constexpr double UsualGrowth = 1.25;
/// After its start a queue takes all that is offered as usual for this long.
constexpr Duration LearnTime = std::chrono::seconds(5);
/// Seconds of work within which an account counts as forgotten.
constexpr double ForgottenWork = 1e-3;

} // namespace

void AccountShares::offered(const AccountName &Account, Duration Work,
                            Instant Now) {
  if (Account.empty())
    return;
  this->sweep(Now);
  auto Found = this->Accounts.find(Account);
  if (Found == this->Accounts.end()) {
    if (this->Accounts.size() >= MaxAccounts)
      return;
    Found = this->Accounts.emplace(Account, Use{}).first;
  }
  if (!this->Since)
    this->Since = Now;
  Found->second.Offered.add(seconds(Work), Now);
  const double Usual = seconds(Work) * this->usualPart(Found->second, Now);
  Found->second.Usual.add(Usual, Now);
  this->All.Usual.add(Usual, Now);
}

double AccountShares::usualPart(const Use &Of, Instant Now) const {
  if (Now - *this->Since < LearnTime)
    return 1;
  // The sums cover less than UsualTime while the queue is young.
  const double Covered =
      seconds(UsualTime) *
      -std::expm1(-seconds(Now - *this->Since) / seconds(UsualTime));
  const double Least = NewAccountShare * this->All.Usual.value(Now) /
                       static_cast<double>(this->Accounts.size());
  const double UsualRate = std::max(Of.Usual.value(Now), Least) / Covered;
  return std::min(1.0, UsualGrowth * UsualRate / Of.Offered.rate(Now));
}

void AccountShares::admitted(const AccountName &Account, Duration Work,
                             Instant Now) {
  const auto Found = this->Accounts.find(Account);
  if (Found == this->Accounts.end())
    return;
  Found->second.Recent.add(seconds(Work), Now);
  this->All.Recent.add(seconds(Work), Now);
}

double AccountShares::overuse(const AccountName &Account, Duration Work,
                              Instant Now) const {
  const auto Found = this->Accounts.find(Account);
  const double Total = this->All.Usual.value(Now);
  if (Found == this->Accounts.end() || Total <= 0)
    return 1;
  const double Share =
      std::max(Found->second.Usual.value(Now) / Total,
               NewAccountShare / static_cast<double>(this->Accounts.size()));
  const double Allowed = AllowedRequests * seconds(Work);
  return (Found->second.Recent.value(Now) + Allowed) /
         (Share * this->All.Recent.value(Now) + Allowed);
}

void AccountShares::sweep(Instant Now) {
  if (Now < this->NextSweep)
    return;
  this->NextSweep = Now + UsualTime;
  std::erase_if(this->Accounts, [Now](const auto &Entry) {
    return Entry.second.Usual.value(Now) < ForgottenWork;
  });
}

} // namespace siskinstage
