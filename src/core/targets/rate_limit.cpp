#include "core/targets/rate_limit.h"
#include "siskinstage/config.h"

#include <algorithm>

namespace siskinstage {

namespace {

/// Share of its usual load that a target gets when its limit ends.
constexpr double MinLoadShare = 0.1;

double inSeconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

} // namespace

std::optional<RateLimitState> RateLimit::hear(std::optional<double> Stated,
                                              Instant Sent,
                                              const RateLimitSource &Self,
                                              Instant Now) {
  if (!Stated) {
    if (!this->limited() || Sent <= this->HeardAt ||
        ++this->ResponsesWithout < config::RateLimitEndResponses)
      return std::nullopt;
    this->change({this->State.Version + 1, 0}, Now);
    this->ToldAt = Now;
    return this->State;
  }
  this->heardBy(Self, Now);
  const bool Changed = *Stated != this->State.PerSecond;
  if (Changed)
    this->change({this->State.Version + 1, *Stated}, Now);
  if (!Changed && Now - this->ToldAt < config::RateLimitRepeatPeriod)
    return std::nullopt;
  this->ToldAt = Now;
  return this->State;
}

bool RateLimit::adopt(const RateLimitState &Theirs, const RateLimitSource &From,
                      Instant Now) {
  if (Theirs.Version < this->State.Version)
    return false;
  // Of two changes made at the same time, the lower limit holds.
  const bool Same = Theirs.Version == this->State.Version;
  const bool Stricter =
      Theirs.PerSecond > 0 &&
      (!this->limited() || Theirs.PerSecond < this->State.PerSecond);
  if (Theirs.PerSecond > 0) {
    this->heardBy(From, Now);
    this->ToldAt = Now;
  }
  if (Same && !Stricter)
    return false;
  const bool Changed = Theirs.PerSecond != this->State.PerSecond;
  this->change(Theirs, Now);
  return Changed;
}

void RateLimit::change(const RateLimitState &New, Instant Now) {
  const bool WasLimited = this->limited();
  this->State = New;
  this->ResponsesWithout = 0;
  this->ShareOutdated = true;
  if (this->limited() && !WasLimited) {
    this->HeardAt = Now;
    this->Share = {};
    this->Tokens = 0;
    this->Holder = {};
  }
  if (WasLimited && !this->limited()) {
    this->Share = {};
    this->HasEnded = true;
    this->EndedAt = Now;
  }
}

void RateLimit::heardBy(const RateLimitSource &Source, Instant Now) {
  // Two nodes may hear of it in the same turn; then all agree on one of them.
  const bool SameTime = Now - this->HolderSince < config::RateHolderSettleTime;
  const bool Precedes =
      !this->Holder.empty() && SameTime && Source.Node < this->Holder;
  const Address Before = this->Holder;
  if (Source.InCharge)
    this->Holder = {};
  else if (this->limited() && (this->silent(Now) || Precedes)) {
    this->Holder = Source.Node;
    this->HolderSince = Now;
  }
  this->ShareOutdated = this->ShareOutdated || this->Holder != Before;
  this->HeardAt = Now;
  this->ResponsesWithout = 0;
  this->UsedTurn.reset();
}

Duration RateLimit::silenceTime() const {
  const std::chrono::duration<double> Interval(1 / this->State.PerSecond);
  return config::RateSilenceTime +
         std::chrono::duration_cast<Duration>(Interval);
}

bool RateLimit::silent(Instant Now) const {
  return Now - this->HeardAt > this->silenceTime();
}

std::uint64_t RateLimit::turn(Instant Now) const {
  const Duration Elapsed = Now - this->HeardAt - this->silenceTime();
  return static_cast<std::uint64_t>(inSeconds(Elapsed) * this->State.PerSecond);
}

void RateLimit::expire(Instant Now) {
  // The version stays, so that the limit holds again if a node repeats it.
  if (this->limited() && Now - this->HeardAt > config::RateLimitRetention)
    this->change({this->State.Version, 0}, Now);
}

void RateLimit::setShare(const RateShare &New, Instant Now) {
  this->Tokens =
      this->Share.PerSecond > 0 ? std::min(this->tokensAt(Now), New.Burst) : 0;
  this->RefilledAt = Now;
  this->Share = New;
  this->ShareOutdated = false;
}

double RateLimit::tokensAt(Instant Now) const {
  return std::min(this->Share.Burst,
                  this->Tokens + this->Share.PerSecond *
                                     inSeconds(Now - this->RefilledAt));
}

bool RateLimit::allows(Instant Now) const {
  if (!this->limited())
    return true;
  if (!this->silent(Now))
    return this->tokensAt(Now) >= 1;
  const std::uint64_t Turn = this->turn(Now);
  return this->Share.Nodes > 0 &&
         Turn % this->Share.Nodes == this->Share.Rank && this->UsedTurn != Turn;
}

void RateLimit::take(Instant Now) {
  if (!this->limited())
    return;
  if (this->silent(Now))
    this->UsedTurn = this->turn(Now);
  this->Tokens = std::max(0.0, this->tokensAt(Now) - 1);
  this->RefilledAt = Now;
}

double RateLimit::loadShare(Instant Now) const {
  if (!this->HasEnded || this->limited())
    return 1;
  const double Elapsed = inSeconds(Now - this->EndedAt) /
                         inSeconds(Duration(config::ProbationRamp));
  return std::clamp(Elapsed, MinLoadShare, 1.0);
}

} // namespace siskinstage
