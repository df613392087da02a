#ifndef SISKINSTAGE_NODE_REQUESTS_QUOTA_GATE_H
#define SISKINSTAGE_NODE_REQUESTS_QUOTA_GATE_H

#include "core/requests/fleet_quota.h"
#include "siskinstage/fleet_record.h"

#include <mutex>
#include <set>

namespace siskinstage {

/// Admission by the quotas that client accounts have over all nodes. The gossip
/// thread exchanges its messages. Thread-safe.
class QuotaGate {
public:
  QuotaGate(const Address &Self, Incarnation Process);

  /// Admits a request of \p Account with the given rate and burst.
  AccountQuota::Decision admit(const AccountName &Account,
                               const QuotaLimits &Limits,
                               const FleetRecord &Fleet);
  /// Returns the token of a request that was refused for another reason.
  void giveBack(const AccountName &Account);
  /// \param Entries nodes that share the quotas; none if no account has one.
  /// \param Complete see QuotaShares::setEntries.
  void setEntries(const std::vector<Address> &Entries, bool Complete);
  void setListed(std::set<Address> Live);
  std::vector<OutgoingQuota> tick();
  std::vector<OutgoingQuota> receive(const Address &From, Incarnation Process,
                                     const QuotaMessage &Message);
  [[nodiscard]] FleetQuota::Stats stats();
  [[nodiscard]] FleetQuota::AccountView view(const AccountName &Account);

private:
  std::mutex Lock;
  FleetQuota Quotas;
  FleetQuota::Stats Logged; ///< As of the last log line.

  /// Logs a change of the own claim, and a full table.
  void logChange();
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_REQUESTS_QUOTA_GATE_H
