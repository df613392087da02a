#include "core/requests/account_quota.h"
#include "core/random.h"
#include "siskinstage/config.h"

#include <algorithm>
#include <cmath>

namespace siskinstage {

namespace {

/// A bucket below this part of its size is low.
constexpr double LowFraction = 0.7;
/// Standard deviations of the demand that a claim has room for.
constexpr double DemandMargin = 0.7;
constexpr std::int64_t SlotsPerSecond = 10;
constexpr std::int64_t RecentSlots = 3;
/// With fewer requests in a time, their rate is chance.
constexpr double ManyRequests = 8;
/// Part of the demand of a longer time that is expected to go on when the
/// latest slots have less.
constexpr double MinRemaining = 0.25;
/// A bucket must hold a whole token to admit anything.
constexpr double MinTokens = 1.3;

double inSeconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

Duration fromSeconds(double Seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

} // namespace

QuotaLimits limitsWithHeadroom(const QuotaLimits &Account,
                               const QuotaBounds &Bounds) {
  const double Seconds = inSeconds(Bounds.Window);
  const double Overage =
      (Account.PerSecond * Seconds + Account.Burst) * Bounds.Overage;
  return {Account.PerSecond, Account.Burst + config::QuotaOverageUse * Overage +
                                 config::QuotaSlackUse * Bounds.Slack};
}

AccountQuota::AccountQuota(const QuotaLimits &Total, Instant Since)
    : Total(Total), RefilledAt(Since) {}

void AccountQuota::configure(const QuotaLimits &New, Instant Now) {
  if (New == this->Total)
    return;
  this->refill(Now);
  this->Total = New;
  this->Tokens = std::min(this->Tokens, this->Fraction * New.Burst);
}

void AccountQuota::setClaim(double New, Instant Until, Instant Now) {
  // The first claim is one since the time that the constructor was given.
  if (this->ValidUntil == Instant()) {
    this->Fraction = New;
    this->ValidUntil = Until;
  }
  this->refill(Now);
  this->ValidUntil = Until;
  this->Fraction = New;
  this->Tokens = std::min(this->Tokens, New * this->Total.Burst);
}

double AccountQuota::tokens(Instant Now) const {
  const Duration Time = std::min(Now, this->ValidUntil) - this->RefilledAt;
  const double Gained =
      this->Fraction * this->Total.PerSecond * std::max(0.0, inSeconds(Time));
  return std::min(this->Fraction * this->Total.Burst, this->Tokens + Gained);
}

void AccountQuota::refill(Instant Now) {
  this->Tokens = this->tokens(Now);
  this->RefilledAt = std::max(this->RefilledAt, Now);
}

AccountQuota::Decision AccountQuota::admit(Instant Now, Random &Rng) {
  this->countDemand(Now);
  this->refill(Now);
  if (this->Tokens >= 1 && Now <= this->ValidUntil) {
    this->Tokens -= 1;
    return {true, {}};
  }
  return {false, this->timeToToken(Now, Rng)};
}

void AccountQuota::giveBack() {
  this->Tokens = std::min(this->Tokens + 1, this->Fraction * this->Total.Burst);
}

double AccountQuota::takePart(double Part, Instant Now) {
  this->refill(Now);
  const double Taken = this->Tokens * std::clamp(Part, 0.0, 1.0);
  this->Tokens -= Taken;
  return Taken;
}

void AccountQuota::add(double Count, Instant Now) {
  this->refill(Now);
  this->Tokens =
      std::min(this->Tokens + Count, this->Fraction * this->Total.Burst);
}

Duration AccountQuota::timeToToken(Instant Now, Random &Rng) {
  const Duration Most = config::MaxQuotaRetryAfter;
  const double Rate = this->Fraction * this->Total.PerSecond;
  if (Rate <= 0)
    return config::MinRetryAfter + std::chrono::duration_cast<Duration>(
                                       config::MaxRetryAfter * Rng.unit());
  const Duration Missing = fromSeconds(std::min(
      (1 - this->Tokens) / Rate, inSeconds(config::MaxQuotaRetryAfter)));
  const Duration Step =
      fromSeconds(std::min(1 / Rate, inSeconds(config::MaxQuotaRetryAfter)));
  // Each refused caller gets the token after that of the one before it.
  this->NextFree = std::max(this->NextFree + Step, Now + Missing);
  if (this->NextFree - Now <= Most)
    return this->NextFree - Now;
  // More callers than tokens in that time: they return at random times.
  this->NextFree = Now + Most;
  return Missing +
         std::chrono::duration_cast<Duration>((Most - Missing) * Rng.unit());
}

void AccountQuota::countDemand(Instant Now) {
  const std::int64_t Slot = Now.time_since_epoch() / SlotLength;
  const std::int64_t Passed =
      std::min<std::int64_t>(Slot - this->NewestSlot, SlotCount);
  for (std::int64_t I = 0; I < Passed; ++I)
    this->Demand[static_cast<std::size_t>(Slot - I) % SlotCount] = 0;
  this->NewestSlot = std::max(this->NewestSlot, Slot);
  ++this->Demand[static_cast<std::size_t>(this->NewestSlot) % SlotCount];
  this->LastDemand = Now;
}

double AccountQuota::demandIn(std::int64_t Slots, Instant Now) const {
  const std::int64_t Newest = Now.time_since_epoch() / SlotLength;
  double Sum = 0;
  for (std::int64_t Slot = Newest - Slots + 1; Slot <= Newest; ++Slot)
    if (Slot <= this->NewestSlot &&
        Slot > this->NewestSlot - static_cast<std::int64_t>(SlotCount) &&
        Slot >= 0)
      Sum += this->Demand[static_cast<std::size_t>(Slot) % SlotCount];
  return Sum;
}

double AccountQuota::need(Instant Now) const {
  const double InAll = this->demandIn(SlotCount, Now);
  if (InAll == 0 || this->Total.PerSecond <= 0)
    return 0;
  constexpr double Seconds = static_cast<double>(SlotCount) / SlotsPerSecond;
  // The shorter a time has enough requests, the sooner a change shows.
  const double InSecond = this->demandIn(SlotsPerSecond, Now);
  // The newest slot has only begun: it shows a rise, but no fall.
  const double Recent = std::max(this->demandIn(RecentSlots, Now),
                                 this->demandIn(RecentSlots, Now - SlotLength));
  double Rate = (InAll + std::sqrt(InAll)) / Seconds;
  if (std::max(InSecond, InAll / Seconds) >= ManyRequests)
    Rate = std::max(MinRemaining * InAll / Seconds,
                    InSecond + DemandMargin * std::sqrt(InSecond));
  constexpr double RecentPart =
      static_cast<double>(RecentSlots) / SlotsPerSecond;
  if (std::max(Recent, InSecond * RecentPart) >= ManyRequests)
    Rate = std::max(MinRemaining * InSecond,
                    (Recent + DemandMargin * std::sqrt(Recent)) / RecentPart);
  return std::min(1.0,
                  std::max(Rate / this->Total.PerSecond, this->leastClaim()));
}

double AccountQuota::leastClaim() const {
  return std::min(1.0, MinTokens / std::max(this->Total.Burst, 1.0));
}

bool AccountQuota::low(Instant Now) const {
  const double Size = this->Fraction * this->Total.Burst;
  return this->tokens(Now) < std::max(1.0, LowFraction * Size);
}

bool AccountQuota::full(Instant Now) const {
  return this->tokens(Now) >= this->Fraction * this->Total.Burst;
}

} // namespace siskinstage
