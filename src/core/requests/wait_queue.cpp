#include "core/requests/wait_queue.h"

#include <algorithm>

namespace siskinstage {

WaitQueue::WaitQueue(std::uint64_t /*Seed*/) {}

Instant WaitQueue::latestStart(const WaitingRequest &Request) const {
  return std::min(Request.Deadline - Request.Work,
                  Request.Arrived + this->Limits.MaxWait);
}

Duration WaitQueue::waitTime(const Room &Space) const {
  if (Space.Free > this->Waiting.size())
    return Duration::zero();
  return this->WaitingWork / std::max<std::uint32_t>(Space.Slots, 1);
}

std::vector<Rejected> WaitQueue::add(WaitingRequest Request, const Room &Space,
                                     Instant Now) {
  const Duration Wait = this->waitTime(Space);
  if (this->Waiting.size() >= this->Limits.MaxWaiting ||
      this->HeldBytes + Request.Bytes > this->Limits.MaxBytes)
    return {{Request.Id, Rejected::Reason::Full, Wait}};
  const Instant LatestStart = this->latestStart(Request);
  if (Space.Slots == 0 || Now + Wait > LatestStart)
    return {{Request.Id, Rejected::Reason::TooLate, Wait}};
  this->HeldBytes += Request.Bytes;
  this->WaitingWork += Request.Work;
  this->ByArrival.emplace(Request.Arrived, Request.Id);
  this->ByLatestStart.emplace(LatestStart, Request.Id);
  const std::uint64_t Key = Request.Id.Value;
  this->Waiting.emplace(Key, Entry{std::move(Request), LatestStart});
  return {};
}

std::optional<WaitId> WaitQueue::next(Instant Now) {
  return this->next(Now, [](WaitId) { return true; });
}

std::optional<WaitId> WaitQueue::next(Instant /*Now*/, const Fits &MayUse) {
  std::size_t Checked = 0;
  for (const auto &[Arrived, Id] : this->ByArrival) {
    if (++Checked > MaxFitsChecked)
      break;
    if (!MayUse(Id))
      continue;
    const WaitId Chosen = Id;
    this->remove(Chosen);
    return Chosen;
  }
  return std::nullopt;
}

std::vector<Rejected> WaitQueue::expire(const Room &Space, Instant Now) {
  std::vector<Rejected> Gone;
  while (!this->ByLatestStart.empty() &&
         this->ByLatestStart.begin()->first < Now) {
    const WaitId Id = this->ByLatestStart.begin()->second;
    this->remove(Id);
    Gone.push_back({Id, Rejected::Reason::TooLate, this->waitTime(Space)});
  }
  return Gone;
}

std::optional<Instant> WaitQueue::nextExpiry() const {
  if (this->ByLatestStart.empty())
    return std::nullopt;
  return this->ByLatestStart.begin()->first + Duration(1);
}

void WaitQueue::remove(WaitId Id) {
  const auto Found = this->Waiting.find(Id.Value);
  if (Found == this->Waiting.end())
    return;
  const auto &[Request, LatestStart] = Found->second;
  this->HeldBytes -= Request.Bytes;
  this->WaitingWork -= Request.Work;
  this->ByArrival.erase({Request.Arrived, Id});
  this->ByLatestStart.erase({LatestStart, Id});
  this->Waiting.erase(Found);
}

} // namespace siskinstage
