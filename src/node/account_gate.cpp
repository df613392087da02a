#include "node/account_gate.h"

#include <algorithm>

namespace siskinstage {

AccountGate::Shard &AccountGate::shardOf(const AccountName &Account) {
  return this->Shards[std::hash<AccountName>{}(Account) % ShardCount];
}

AccountGate::Decision AccountGate::admit(const AccountRecord &Account,
                                         std::size_t Nodes, Instant Now) {
  const auto Parts = static_cast<double>(std::max<std::size_t>(Nodes, 1));
  Shard &In = this->shardOf(Account.Name);
  const std::lock_guard<std::mutex> Guard(In.Lock);
  AccountLimiter &Limiter = In.Limiters[Account.Name];
  Limiter.configure(Account.RatePerSecond / Parts, Account.Concurrency / Parts);
  const auto Result = Limiter.admit(Now);
  return {Result, Limiter.timeUntilToken()};
}

void AccountGate::release(const AccountName &Account) {
  Shard &In = this->shardOf(Account);
  const std::lock_guard<std::mutex> Guard(In.Lock);
  In.Limiters[Account].release();
}

std::size_t AccountGate::tracked() {
  std::size_t Count = 0;
  for (Shard &Each : this->Shards) {
    const std::lock_guard<std::mutex> Guard(Each.Lock);
    Count += Each.Limiters.size();
  }
  return Count;
}

} // namespace siskinstage
