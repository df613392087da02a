#ifndef SISKINSTAGE_NODE_REQUESTS_ACCOUNT_GATE_H
#define SISKINSTAGE_NODE_REQUESTS_ACCOUNT_GATE_H

#include "core/requests/account_limiter.h"
#include "siskinstage/account_record.h"

#include <array>
#include <mutex>
#include <unordered_map>

namespace siskinstage {

/// Admission by the rate and concurrency limits of client accounts.
/// Thread-safe: the limiters are sharded by account, each shard with its own
/// lock.
class AccountGate {
public:
  /// Result of admit().
  struct Decision {
    AccountLimiter::Admission Result = AccountLimiter::Admission::Admitted;
    Duration RetryAfter{}; ///< Time until the rate limit admits a request.
  };

  /// An admitted request must be released.
  /// \param Nodes number of entry instances that share the account's limits;
  ///              each applies an equal part of them.
  Decision admit(const AccountRecord &Account, std::size_t Nodes, Instant Now);
  void release(const AccountName &Account);
  /// Number of accounts with a limiter.
  [[nodiscard]] std::size_t accountCount();

private:
  static constexpr std::size_t ShardCount = 64;
  struct Shard {
    std::mutex Lock;
    std::unordered_map<AccountName, AccountLimiter> Limiters;
  };
  std::array<Shard, ShardCount> Shards;

  Shard &shardOf(const AccountName &Account);
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_REQUESTS_ACCOUNT_GATE_H
