#include "node/connection_pool.h"
#include "net/boot_time.h"
#include "siskinstage/config.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace siskinstage {

namespace {

bool expired(const PooledConnection &Each, Instant Now) {
  return Now - Each.LastAnswer >= config::TargetIdleLimit ||
         Now - Each.Opened >= config::TargetAgeLimit;
}

} // namespace

WireResult<PooledConnection> ConnectionPool::take(const Address &Where,
                                                  Duration MaxSilence,
                                                  Instant Deadline) {
  const Instant Now = bootNow();
  while (true) {
    std::optional<PooledConnection> Taken;
    {
      const std::lock_guard<std::mutex> Guard(this->Lock);
      // The last one put back is the one most likely alive.
      if (this->Idle.empty() ||
          Now - this->Idle.back().LastAnswer >= MaxSilence)
        break;
      Taken = std::move(this->Idle.back());
      this->Idle.pop_back();
    }
    const bool Usable = !expired(*Taken, Now) && !Taken->Connection.stale();
    const std::lock_guard<std::mutex> Guard(this->Lock);
    if (Usable) {
      ++this->Counts.Reused;
      Taken->Reused = true;
      return std::move(*Taken);
    }
    ++this->Counts.Dropped;
  }
  const Instant Limit = std::min(Deadline, Now + config::ConnectTimeout);
  auto New = Wire::connect(Where, Limit);
  if (!New)
    return tl::unexpected<WireFault>(New.error());
  const std::lock_guard<std::mutex> Guard(this->Lock);
  ++this->Counts.Opened;
  return PooledConnection{std::move(*New), Now, Now, false};
}

void ConnectionPool::put(PooledConnection Back) {
  Back.LastAnswer = bootNow();
  Back.Connection.shrink();
  const std::lock_guard<std::mutex> Guard(this->Lock);
  this->Idle.push_back(std::move(Back));
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

void ConnectionPool::expire(Instant Now) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  const auto Kept = std::remove_if(
      this->Idle.begin(), this->Idle.end(),
      [&](const PooledConnection &Each) { return expired(Each, Now); });
  this->Counts.Dropped += static_cast<std::uint64_t>(this->Idle.end() - Kept);
  this->Idle.erase(Kept, this->Idle.end());
}

ConnectionPool::Stats ConnectionPool::stats() {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  return this->Counts;
}

std::size_t ConnectionPool::idle() {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  return this->Idle.size();
}

} // namespace siskinstage
