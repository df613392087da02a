#include "core/requests/start_schedule.h"

#include <algorithm>
#include <chrono>

namespace siskinstage {

namespace {

std::int64_t stepOf(Instant At) {
  return At.time_since_epoch() / StartSchedule::Step;
}

Instant startOf(std::int64_t Number) {
  return Instant(Number * StartSchedule::Step);
}

} // namespace

void StartSchedule::add(const Item &New) {
  StepItems &Items = this->Steps[stepOf(New.LatestStart)];
  Items.ByWorth.emplace(New.Worth, New.Id);
  Items.Work += New.Work;
  Items.LongestWork = std::max(Items.LongestWork, New.Work);
  this->TotalWork += New.Work;
}

void StartSchedule::remove(const Item &Old) {
  const auto Found = this->Steps.find(stepOf(Old.LatestStart));
  if (Found == this->Steps.end() ||
      Found->second.ByWorth.erase({Old.Worth, Old.Id}) == 0)
    return;
  Found->second.Work -= Old.Work;
  this->TotalWork -= Old.Work;
  if (Found->second.ByWorth.empty())
    this->Steps.erase(Found);
}

Duration StartSchedule::workBefore(Instant LatestStart) const {
  Duration Sum{};
  for (const auto &[Number, Items] : this->Steps) {
    if (Number >= stepOf(LatestStart))
      break;
    Sum += Items.Work;
  }
  return Sum;
}

void StartSchedule::visit(const std::function<bool(WaitId)> &Visit) const {
  for (const auto &[Number, Items] : this->Steps)
    for (auto It = Items.ByWorth.rbegin(); It != Items.ByWorth.rend(); ++It)
      if (Visit(It->second))
        return;
}

std::optional<Instant> StartSchedule::nextOverdue() const {
  if (this->Steps.empty())
    return std::nullopt;
  return startOf(this->Steps.begin()->first + 1);
}

std::optional<WaitId> StartSchedule::overdue(Instant Now) const {
  const auto Next = this->nextOverdue();
  if (!Next || Now < *Next)
    return std::nullopt;
  return this->Steps.begin()->second.ByWorth.begin()->second;
}

std::optional<WaitId> StartSchedule::least() const {
  const std::pair<double, WaitId> *Least = nullptr;
  for (const auto &[Number, Items] : this->Steps)
    if (!Least || *Items.ByWorth.begin() < *Least)
      Least = &*Items.ByWorth.begin();
  return Least ? std::optional(Least->second) : std::nullopt;
}

std::optional<WaitId> StartSchedule::excess(double Rate, Duration Ahead,
                                            Instant Now) const {
  const std::chrono::duration<double> Before = Ahead;
  std::chrono::duration<double> Sum(0);
  const std::pair<double, WaitId> *Least = nullptr;
  for (const auto &[Number, Items] : this->Steps) {
    if (!Least || *Items.ByWorth.begin() < *Least)
      Least = &*Items.ByWorth.begin();
    Sum += Items.Work;
    // The last request of a step starts before its own work counts.
    const std::chrono::duration<double> Left =
        std::max(startOf(Number + 1) - Now, Duration::zero());
    const auto Counted = Sum - Items.LongestWork;
    if (Counted.count() > 0 && Counted > (Left - Before) * Rate)
      return Least->second;
  }
  return std::nullopt;
}

} // namespace siskinstage
