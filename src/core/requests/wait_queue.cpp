#include "core/requests/wait_queue.h"

#include <algorithm>
#include <utility>

namespace siskinstage {

WaitQueue::WaitQueue(std::uint64_t Seed)
    : Seed(Seed), Order(ArrivalOrder(this->Limits.MaxWait)) {}

void WaitQueue::configure(const Settings &New) {
  const bool Unchanged =
      New.Order == this->Limits.Order && New.MaxWait == this->Limits.MaxWait;
  this->Limits = New;
  if (Unchanged)
    return;
  if (New.Order == OrderKind::Worth)
    this->Order.emplace<WorthOrder>(New.MaxWait, this->Seed);
  else
    this->Order.emplace<ArrivalOrder>(New.MaxWait);
  std::visit(
      [this](auto &Chosen) {
        for (const auto &[Id, Request] : this->Waiting)
          Chosen.insert(Request, this->LastCall);
      },
      this->Order);
}

std::vector<Rejected> WaitQueue::add(WaitingRequest Request, const Room &Space,
                                     Instant Now) {
  this->LastCall = Now;
  const WaitingRequest New = Request;
  this->HeldBytes += Request.Bytes;
  this->Waiting.emplace(New.Id.Value, std::move(Request));
  auto Gone = std::visit(
      [&](auto &Chosen) { return Chosen.add(New, Space, Now); }, this->Order);
  this->forget(Gone);
  while (this->Waiting.size() > this->Limits.MaxWaiting ||
         this->HeldBytes > this->Limits.MaxBytes) {
    const auto Dropped = std::visit(
        [&](auto &Chosen) { return Chosen.dropOne(New, Now); }, this->Order);
    if (!Dropped || this->Waiting.count(Dropped->Id.Value) == 0)
      break;
    this->forget(Dropped->Id);
    Gone.push_back(*Dropped);
  }
  return Gone;
}

std::optional<WaitId> WaitQueue::next(Instant Now) {
  return this->next(Now, [](WaitId) { return true; });
}

std::optional<WaitId> WaitQueue::next(Instant Now, const Fits &MayUse) {
  this->LastCall = Now;
  std::optional<WaitId> Found;
  std::size_t Checked = 0;
  std::visit(
      [&](auto &Chosen) {
        Chosen.visit([&](WaitId Id) {
          if (MayUse(Id))
            Found = Id;
          return Found || ++Checked >= MaxFitsChecked;
        });
        if (Found)
          Chosen.start(this->Waiting.at(Found->Value), Now);
      },
      this->Order);
  if (Found)
    this->forget(*Found);
  return Found;
}

std::vector<Rejected> WaitQueue::expire(const Room &Space, Instant Now) {
  this->LastCall = Now;
  auto Gone = std::visit(
      [&](auto &Chosen) { return Chosen.expire(Space, Now); }, this->Order);
  this->forget(Gone);
  return Gone;
}

std::optional<Instant> WaitQueue::nextExpiry() const {
  return std::visit([](const auto &Chosen) { return Chosen.nextExpiry(); },
                    this->Order);
}

void WaitQueue::remove(WaitId Id) { this->forget(Id); }

void WaitQueue::forget(WaitId Id) {
  const auto Found = this->Waiting.find(Id.Value);
  if (Found == this->Waiting.end())
    return;
  std::visit(
      [&](auto &Chosen) { Chosen.remove(Found->second, this->LastCall); },
      this->Order);
  this->HeldBytes -= Found->second.Bytes;
  this->Waiting.erase(Found);
}

void WaitQueue::forget(const std::vector<Rejected> &Gone) {
  for (const Rejected &Each : Gone)
    this->forget(Each.Id);
}

} // namespace siskinstage
