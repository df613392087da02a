#ifndef SISKINSTAGE_NODE_ACCOUNT_GATE_H
#define SISKINSTAGE_NODE_ACCOUNT_GATE_H

#include "core/account_limiter.h"
#include "siskinstage/account_record.h"

#include <array>
#include <mutex>
#include <unordered_map>

namespace siskinstage {

/// The limiters of all accounts that this node has seen.
class AccountGate {
public:
  /// What an admission gave.
  struct Decision {
    AccountLimiter::Admission Result = AccountLimiter::Admission::Admitted;
    Duration RetryAfter{};
  };

  /// \param Nodes over how many entry instances the account's limits are
  ///              shared.
  Decision admit(const AccountRecord &Account, std::size_t Nodes, Instant Now);
  void release(const AccountName &Account);
  [[nodiscard]] std::size_t tracked();

private:
  static constexpr std::size_t ShardCount = 64;
  /// A part of the accounts behind its own lock.
  struct Shard {
    std::mutex Lock;
    std::unordered_map<AccountName, AccountLimiter> Limiters;
  };
  std::array<Shard, ShardCount> Shards;

  Shard &shardOf(const AccountName &Account);
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_ACCOUNT_GATE_H
