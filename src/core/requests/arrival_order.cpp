#include "core/requests/arrival_order.h"

#include <algorithm>

namespace siskinstage {

Instant ArrivalOrder::latestStart(const WaitingRequest &Request) const {
  return std::min(Request.Deadline - Request.Work,
                  Request.Arrived + this->MaxWait);
}

Duration ArrivalOrder::waitTime() const {
  if (this->LastSpace.Free > this->ByArrival.size())
    return Duration::zero();
  return this->WaitingWork / std::max<std::uint32_t>(this->LastSpace.Slots, 1);
}

std::vector<Rejected> ArrivalOrder::add(const WaitingRequest &Request,
                                        const Room &Space, Instant Now) {
  this->LastSpace = Space;
  const Duration Wait = this->waitTime();
  if (Space.Slots == 0 || Now + Wait > this->latestStart(Request))
    return {{Request.Id, Rejected::Reason::TooLate, Wait}};
  this->insert(Request, Now);
  return {};
}

void ArrivalOrder::insert(const WaitingRequest &Request, Instant /*Now*/) {
  this->WaitingWork += Request.Work;
  this->ByArrival.emplace(Request.Arrived, Request.Id);
  this->ByLatestStart.emplace(this->latestStart(Request), Request.Id);
}

void ArrivalOrder::remove(const WaitingRequest &Request, Instant /*Now*/) {
  if (this->ByArrival.erase({Request.Arrived, Request.Id}) == 0)
    return;
  this->WaitingWork -= Request.Work;
  this->ByLatestStart.erase({this->latestStart(Request), Request.Id});
}

void ArrivalOrder::start(const WaitingRequest &Request, Instant Now) {
  this->remove(Request, Now);
}

void ArrivalOrder::visit(const std::function<bool(WaitId)> &Visit) const {
  for (const auto &[Arrived, Id] : this->ByArrival)
    if (Visit(Id))
      return;
}

std::optional<Rejected> ArrivalOrder::dropOne(const WaitingRequest &New,
                                              Instant Now) {
  this->remove(New, Now);
  return Rejected{New.Id, Rejected::Reason::Full, this->waitTime()};
}

std::vector<Rejected> ArrivalOrder::expire(const Room &Space, Instant Now) {
  this->LastSpace = Space;
  std::vector<Rejected> Gone;
  for (const auto &[LatestStart, Id] : this->ByLatestStart) {
    if (LatestStart >= Now)
      break;
    Gone.push_back({Id, Rejected::Reason::TooLate, this->waitTime()});
  }
  return Gone;
}

std::optional<Instant> ArrivalOrder::nextExpiry() const {
  if (this->ByLatestStart.empty())
    return std::nullopt;
  return this->ByLatestStart.begin()->first + Duration(1);
}

} // namespace siskinstage
