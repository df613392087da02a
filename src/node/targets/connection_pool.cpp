#include "node/targets/connection_pool.h"
#include "net/boot_time.h"
#include "siskinstage/config.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace siskinstage {

namespace {

bool isExpired(const PooledConnection &Pooled, Instant Now) {
  return Now - Pooled.LastResponse >= config::TargetIdleLimit ||
         Now - Pooled.Opened >= config::TargetAgeLimit;
}

} // namespace

ConnectionResult<PooledConnection> ConnectionPool::take(const Address &Endpoint,
                                                        Duration MaxIdle,
                                                        Instant Deadline) {
  const Instant Now = bootNow();
  while (true) {
    std::optional<PooledConnection> Taken;
    {
      const std::lock_guard<std::mutex> Guard(this->Lock);
      this->Retired = false;
      // The connection used last is the least likely to have been closed.
      if (this->Idle.empty() || Now - this->Idle.back().LastResponse >= MaxIdle)
        break;
      Taken = std::move(this->Idle.back());
      this->Idle.pop_back();
    }
    const bool Usable =
        !isExpired(*Taken, Now) && !Taken->Connection.hasInput();
    const std::lock_guard<std::mutex> Guard(this->Lock);
    if (Usable) {
      ++this->Counts.Reused;
      Taken->Reused = true;
      return std::move(*Taken);
    }
    ++this->Counts.Dropped;
  }
  const Instant Limit = std::min(Deadline, Now + config::ConnectTimeout);
  auto New = TcpConnection::connect(Endpoint, Limit);
  if (!New)
    return tl::unexpected<ConnectionFault>(New.error());
  const std::lock_guard<std::mutex> Guard(this->Lock);
  ++this->Counts.Opened;
  return PooledConnection{std::move(*New), Now, Now, false};
}

void ConnectionPool::put(PooledConnection Returned) {
  Returned.LastResponse = bootNow();
  Returned.Connection.shrink();
  const std::lock_guard<std::mutex> Guard(this->Lock);
  if (this->Retired) {
    ++this->Counts.Dropped;
    return;
  }
  this->Idle.push_back(std::move(Returned));
  if (this->Idle.size() <= config::MaxConnectionsPerTarget)
    return;
  this->Idle.erase(this->Idle.begin());
  ++this->Counts.Dropped;
}

void ConnectionPool::clear() {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  this->Counts.Dropped += this->Idle.size();
  this->Idle.clear();
}

void ConnectionPool::retire() {
  this->clear();
  const std::lock_guard<std::mutex> Guard(this->Lock);
  this->Retired = true;
}

void ConnectionPool::expire(Instant Now) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  const auto Expired = std::remove_if(
      this->Idle.begin(), this->Idle.end(),
      [&](const PooledConnection &Pooled) { return isExpired(Pooled, Now); });
  this->Counts.Dropped +=
      static_cast<std::uint64_t>(this->Idle.end() - Expired);
  this->Idle.erase(Expired, this->Idle.end());
}

ConnectionPool::Stats ConnectionPool::stats() {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  return this->Counts;
}

std::size_t ConnectionPool::idleCount() {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  return this->Idle.size();
}

} // namespace siskinstage
