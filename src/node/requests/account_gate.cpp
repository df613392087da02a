#include "node/requests/account_gate.h"

#include <algorithm>

namespace siskinstage {

AccountGate::Shard &AccountGate::shardOf(const AccountName &Account) {
  return this->Shards[std::hash<AccountName>{}(Account) % ShardCount];
}

AccountGate::Decision AccountGate::admit(const AccountRecord &Account,
                                         std::size_t Nodes, Instant Now) {
  const auto NodeCount = static_cast<double>(std::max<std::size_t>(Nodes, 1));
  Shard &AccountShard = this->shardOf(Account.Name);
  const std::lock_guard<std::mutex> Guard(AccountShard.Lock);
  AccountLimiter &Limiter = AccountShard.Limiters[Account.Name];
  Limiter.configure(Account.RatePerSecond / NodeCount,
                    Account.Concurrency / NodeCount);
  const auto Result = Limiter.admit(Now);
  return {Result, Limiter.timeUntilToken()};
}

void AccountGate::release(const AccountName &Account) {
  Shard &AccountShard = this->shardOf(Account);
  const std::lock_guard<std::mutex> Guard(AccountShard.Lock);
  AccountShard.Limiters[Account].release();
}

std::size_t AccountGate::accountCount() {
  std::size_t Count = 0;
  for (Shard &Part : this->Shards) {
    const std::lock_guard<std::mutex> Guard(Part.Lock);
    Count += Part.Limiters.size();
  }
  return Count;
}

} // namespace siskinstage
