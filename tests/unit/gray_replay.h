#ifndef SISKINSTAGE_TESTS_UNIT_GRAY_REPLAY_H
#define SISKINSTAGE_TESTS_UNIT_GRAY_REPLAY_H

#include "core/gray_estimate.h"
#include "core/hang_probability.h"
#include "core/pick.h"
#include "core/placement.h"
#include "siskinstage/config.h"

#include <algorithm>
#include <cmath>
#include <list>

namespace siskinstage::gray_replay {

/// Replays a load on a virtual clock through the real decisions of several
/// entries: targets go gray in turn behind good health checks.

/// The load: what arrives, and how targets behave.
struct Load {
  int Entries = 4;
  int Domains = 4; ///< Entries and targets stand in them in turn.
  int Targets = 28;
  std::uint32_t Slots = 4;
  double ArrivalsPerSecond = 114;
  double RepeatablePart = 0.25;
  Millis Work{290};
  Millis Sound{21'000}; ///< Mean length between two spells.
  Millis Gray{9'000};   ///< Mean length of a spell, failing 3 of 4 requests.
  bool Hangs = false;   ///< Failing requests hang, else they fail at once.
  double ErrorShare = 0.012;
  Millis Length{60'000};
  /// Disruptions: every so often a part of the targets fails all its work.
  double HitShare = 0;
  Millis HitEvery{10'000};
  Millis HitLength{2'000};
  /// The entries of the first domain get no requests.
  bool FirstDomainSilent = false;
};

/// When something held for a target.
struct Span {
  Instant From, To;

  [[nodiscard]] bool touches(Instant Begin, Instant End) const {
    return this->From<End &&this->To> Begin;
  }
};

/// What happened to one target.
struct TargetHistory {
  std::vector<Instant> Arrivals;
  std::vector<Span> Gray;
  std::vector<Span> Hit;
};

struct Sending {
  Instant At;
  bool Served = false;
};

struct Outcome {
  int Asked = 0;           ///< Requests that must not run twice.
  int Lost = 0;            ///< Of them, not answered with success.
  int Spells = 0;          ///< That began or were under way.
  int Full = 0;            ///< Found no target with a free slot.
  std::vector<int> Served; ///< By target.
  std::vector<TargetHistory> Histories;
  std::vector<Sending> Requests;
};

struct Target {
  bool Gray = false;
  Instant Changes;
  Instant HitUntil;
  std::uint32_t Running = 0;
};

struct View {
  GrayEstimate Gray;
  std::vector<Instant> Started;
  Instant LastPlaced;
};

struct Running {
  std::size_t Entry, Target;
  Instant Began, Ends, Overdue;
  Evidence End;
  bool Repeatable, WasOverdue = false;
  std::size_t Number = 0; ///< In Outcome::Requests.
};

struct News {
  Instant Arrives;
  std::size_t From, Target;
  double Chance;
};

/// A replay of one load; all randomness comes from the seed.
class Replay {
public:
  Replay(const Load &What, std::uint64_t Seed) : What(What), Dice(Seed) {
    this->Targets.resize(static_cast<std::size_t>(What.Targets));
    this->Found.Served.resize(this->Targets.size());
    this->Found.Histories.resize(this->Targets.size());
    this->NextHit = this->Now + What.HitEvery;
    this->Views.assign(static_cast<std::size_t>(What.Entries),
                       std::vector<View>(this->Targets.size()));
    for (Target &Each : this->Targets) {
      Each.Gray = this->Dice.unit() < 0.3;
      this->Found.Spells += Each.Gray ? 1 : 0;
      Each.Changes = this->Now + this->draw(Each.Gray ? What.Gray : What.Sound);
    }
  }

  Outcome run() {
    const Instant End = this->Now + this->What.Length;
    Instant Next = this->Now;
    for (; this->Now < End; this->Now += Millis(1)) {
      this->changeTargets();
      this->hitTargets();
      this->takeNews();
      this->endRequests();
      while (Next <= this->Now) {
        this->place();
        Next += this->draw(Time(1000 / this->What.ArrivalsPerSecond));
      }
    }
    return this->Found;
  }

private:
  using Time = std::chrono::duration<double, std::milli>;

  Load What;
  Random Dice;
  Instant Now{std::chrono::seconds(100)};
  Instant NextHit;
  std::vector<Target> Targets;
  std::vector<std::vector<View>> Views;
  std::list<Running> Open;
  std::list<News> Told;
  Policy How = makePolicy(RoutingPolicy::DomainFirst);
  Outcome Found;
  const UsualLatency Usual = {Millis(280), Millis(420)};

  Duration draw(Time Mean) {
    return std::chrono::duration_cast<Duration>(
        Mean * -std::log(1 - this->Dice.unit()));
  }

  void changeTargets() {
    for (std::size_t I = 0; I < this->Targets.size(); ++I) {
      Target &Each = this->Targets[I];
      if (Each.Gray)
        noteSpan(this->Found.Histories[I].Gray);
      if (this->Now < Each.Changes)
        continue;
      Each.Gray = !Each.Gray;
      this->Found.Spells += Each.Gray ? 1 : 0;
      Each.Changes = this->Now + this->draw(Each.Gray ? What.Gray : What.Sound);
    }
  }

  /// Makes the last span reach to now, or begins one.
  void noteSpan(std::vector<Span> &Spans) const {
    if (Spans.empty() || Spans.back().To + Millis(1) < this->Now)
      Spans.push_back({this->Now, this->Now});
    Spans.back().To = this->Now;
  }

  void hitTargets() {
    if (this->What.HitShare == 0 || this->Now < this->NextHit)
      return;
    this->NextHit += this->What.HitEvery;
    for (std::size_t I = 0; I < this->Targets.size(); ++I) {
      if (this->Dice.unit() >= this->What.HitShare)
        continue;
      this->Targets[I].HitUntil = this->Now + this->What.HitLength;
      this->Found.Histories[I].Hit.push_back(
          {this->Now, this->Targets[I].HitUntil});
    }
  }

  void takeNews() {
    std::erase_if(this->Told, [this](const News &Each) {
      if (Each.Arrives > this->Now)
        return false;
      for (std::size_t I = 0; I < this->Views.size(); ++I)
        if (I != Each.From)
          this->Views[I][Each.Target].Gray.adopt(Each.Chance, this->Now);
      return true;
    });
  }

  void note(std::size_t Entry, std::size_t Which, Evidence Seen) {
    GrayEstimate &Belief = this->Views[Entry][Which].Gray;
    Belief.update(Seen, this->Now);
    if (const auto Chance = Belief.takeBroadcast(Seen, this->Now))
      this->Told.push_back({this->Now + Millis(3), Entry, Which, *Chance});
  }

  void endRequests() {
    std::erase_if(this->Open, [this](Running &Each) {
      if (!Each.WasOverdue && this->Now >= Each.Overdue) {
        Each.WasOverdue = true;
        this->note(Each.Entry, Each.Target, Evidence::Overdue);
      }
      if (this->Now < Each.Ends)
        return false;
      Evidence End = Each.End;
      if (End == Evidence::Success && Each.WasOverdue)
        End = Evidence::LateSuccess;
      this->note(Each.Entry, Each.Target, End);
      --this->Targets[Each.Target].Running;
      auto &Started = this->Views[Each.Entry][Each.Target].Started;
      Started.erase(std::find(Started.begin(), Started.end(), Each.Began));
      if (!Each.Repeatable && Each.End != Evidence::Success)
        ++this->Found.Lost;
      this->Found.Requests[Each.Number].Served = Each.End == Evidence::Success;
      return true;
    });
  }

  [[nodiscard]] std::size_t domainOf(std::size_t Place) const {
    return Place % static_cast<std::size_t>(this->What.Domains);
  }

  /// Of the entries of the target's domain, one after the other.
  [[nodiscard]] bool inCharge(std::size_t Entry, std::size_t Target) const {
    const auto Domains = static_cast<std::size_t>(this->What.Domains);
    const std::size_t PerDomain = this->Views.size() / Domains;
    return this->domainOf(Entry) == this->domainOf(Target) &&
           Entry / Domains == Target / Domains % PerDomain;
  }

  std::size_t drawEntry() {
    while (true) {
      const std::size_t Entry =
          this->Dice.below(static_cast<std::uint32_t>(this->Views.size()));
      if (!this->What.FirstDomainSilent || this->domainOf(Entry) != 0)
        return Entry;
    }
  }

  void place() {
    const std::size_t Entry = this->drawEntry();
    const bool Repeatable = this->Dice.unit() < this->What.RepeatablePart;
    const auto Kind =
        Repeatable ? Repeatability::Repeatable : Repeatability::AtMostOnce;
    std::vector<Candidate> Candidates;
    for (std::uint32_t I = 0; I < this->Targets.size(); ++I) {
      const View &Seen = this->Views[Entry][I];
      PlacementTarget Known;
      Known.Index = I;
      Known.InFlight = static_cast<std::uint32_t>(Seen.Started.size());
      Known.Capacity = this->What.Slots;
      Known.SameDomain = this->domainOf(I) == this->domainOf(Entry);
      Known.GrayProbability = Seen.Gray.probability(this->Now);
      Known.Started = &Seen.Started;
      Known.SendsTrials = this->inCharge(Entry, I);
      Known.Idle = this->Now - Seen.LastPlaced;
      if (const auto Fit =
              candidateOf(Known, {Kind}, this->Usual, this->Now, this->Dice))
        Candidates.push_back(*Fit);
    }
    this->Found.Requests.push_back({this->Now});
    this->Found.Asked += Repeatable ? 0 : 1;
    const auto Chosen = pick(this->How, Candidates, this->Dice);
    if (!Chosen) {
      ++this->Found.Full;
      this->Found.Lost += Repeatable ? 0 : 1;
      return;
    }
    this->start(Entry, *Chosen, Repeatable);
  }

  void start(std::size_t Entry, std::size_t Which, bool Repeatable) {
    Target &Is = this->Targets[Which];
    const bool Fails =
        this->Now < Is.HitUntil ||
        this->Dice.unit() < (Is.Gray ? 0.75 : this->What.ErrorShare);
    const bool Queued = Is.Running >= this->What.Slots;
    ++Is.Running;
    ++this->Found.Served[Which];
    this->Found.Histories[Which].Arrivals.push_back(this->Now);
    Running New{Entry,     Which, this->Now, this->Now, {}, Evidence::Success,
                Repeatable};
    if (!Fails)
      New.Ends += this->draw(this->What.Work * (Queued ? 2 : 1));
    else if (this->What.Hangs && Is.Gray)
      New.Ends += Millis(2000);
    else
      New.Ends += Millis(1);
    if (Fails)
      New.End =
          this->What.Hangs && Is.Gray ? Evidence::Timeout : Evidence::Failure;
    New.Overdue =
        this->Now + overdueAge(this->Usual, config::OverdueProbabilityCareful);
    this->Views[Entry][Which].Started.push_back(this->Now);
    this->Views[Entry][Which].LastPlaced = this->Now;
    New.Number = this->Found.Requests.size() - 1;
    this->Open.push_back(New);
  }
};

} // namespace siskinstage::gray_replay

#endif // SISKINSTAGE_TESTS_UNIT_GRAY_REPLAY_H
