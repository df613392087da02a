// The order of a ServiceGate's requests, and the work they are expected to be.
#include "net/boot_time.h"
#include "node/snapshot.h"
#include "node/targets/placement_params.h"
#include "node/targets/service_gate.h"

#include <utility>

namespace siskinstage {

namespace {

/// Routes of one service whose estimates are kept: 2 MB. Routes beyond them,
/// and removed ones, have the median of the service.
constexpr std::size_t MaxRoutes = 8192;
/// Longest wait of requests ordered by worth, as in the replays: what can't be
/// served in time is rejected before, and uploads may wait for seconds.
constexpr Millis MaxWorthWait{4000};

} // namespace

void ServiceGate::setOrder(WaitQueue::OrderKind Chosen) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  if (Chosen == std::exchange(this->Order, Chosen))
    return;
  WaitQueue::Settings Limits;
  Limits.Order = Chosen;
  if (Chosen == WaitQueue::OrderKind::Worth)
    Limits.MaxWait = MaxWorthWait;
  this->Queue.configure(Limits);
}

void ServiceGate::observeWork(const RouteName &Route, Duration Took,
                              std::uint64_t BodyBytes) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  if (this->Order == WaitQueue::OrderKind::Arrival)
    return;
  const Instant Now = bootNow();
  if (this->Work.size() >= MaxRoutes && this->Work.count(Route) == 0)
    std::erase_if(this->Work, [Now](const auto &Entry) {
      return Entry.second.age(Now) >= WorkEstimate::DecayTime;
    });
  if (this->Work.size() < MaxRoutes || this->Work.count(Route) > 0)
    this->Work[Route].observe(Took, BodyBytes, Now);
}

Duration ServiceGate::expectedWork(const ServiceView &View,
                                   const PlacementParams &Params,
                                   Instant Now) const {
  const auto Learned = this->Work.find(Params.Route);
  if (this->Order == WaitQueue::OrderKind::Arrival)
    return View.MedianLatency;
  const Duration Prior = priorWork(Params.LatencyObjective, View.MedianLatency);
  return Learned == this->Work.end()
             ? Prior
             : Learned->second.expected(Params.BodyBytes, Prior, Now);
}

} // namespace siskinstage
