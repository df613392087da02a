/// Replays a load on a virtual clock through the real decisions of several
/// entries: targets go gray in turn behind good health checks.
#include "core/gray_belief.h"
#include "core/gray_handicap.h"
#include "core/pick.h"
#include "core/suspicion.h"
#include "siskinstage/config.h"

#include <algorithm>
#include <cmath>
#include <gtest/gtest.h>
#include <list>

namespace siskinstage {
namespace {

/// The load: what arrives, and how targets behave.
struct Load {
  int Entries = 4; ///< One for each failure domain.
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
};

struct Outcome {
  int Asked = 0;           ///< Requests that must not run twice.
  int Lost = 0;            ///< Of them, not answered with success.
  int Spells = 0;          ///< That began or were under way.
  int Full = 0;            ///< Found no target with a free slot.
  std::vector<int> Served; ///< By target.
};

struct Target {
  bool Gray = false;
  Instant Changes;
  std::uint32_t Running = 0;
};

struct View {
  GrayBelief Gray;
  std::vector<Instant> Started;
};

struct Running {
  std::size_t Entry, Target;
  Instant Began, Ends, Overdue;
  Evidence End;
  bool Repeatable, WasOverdue = false;
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
    for (Target &Each : this->Targets)
      if (this->Now >= Each.Changes) {
        Each.Gray = !Each.Gray;
        this->Found.Spells += Each.Gray ? 1 : 0;
        Each.Changes =
            this->Now + this->draw(Each.Gray ? What.Gray : What.Sound);
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
    GrayBelief &Belief = this->Views[Entry][Which].Gray;
    Belief.note(Seen, this->Now);
    if (const auto Chance = Belief.news(Seen, this->Now))
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
      return true;
    });
  }

  void place() {
    const std::size_t Entry =
        this->Dice.below(static_cast<std::uint32_t>(this->Views.size()));
    const bool Repeatable = this->Dice.unit() < this->What.RepeatablePart;
    const auto Kind =
        Repeatable ? Repeatability::Repeatable : Repeatability::AtMostOnce;
    std::vector<Candidate> Candidates;
    for (std::uint32_t I = 0; I < this->Targets.size(); ++I) {
      const View &Seen = this->Views[Entry][I];
      const auto InFlight = static_cast<std::uint32_t>(Seen.Started.size());
      if (InFlight >= this->What.Slots)
        continue;
      const double Gray = hangChance(Seen.Gray.chance(this->Now), Seen.Started,
                                     this->Usual, this->Now);
      Candidates.push_back({I, InFlight, 0, this->What.Slots,
                            I % this->Views.size() == Entry,
                            grayHandicap(Gray, InFlight, Kind)});
    }
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
        this->Dice.unit() < (Is.Gray ? 0.75 : this->What.ErrorShare);
    const bool Queued = Is.Running >= this->What.Slots;
    ++Is.Running;
    ++this->Found.Served[Which];
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
        this->Now + overdueAge(this->Usual, config::OverdueChanceCareful);
    this->Views[Entry][Which].Started.push_back(this->Now);
    this->Open.push_back(New);
  }
};

/// The ideal that sees every failure at once loses one request a spell and the
/// errors of sound targets. Bound: two requests a spell more than that.
void expectFewLost(const Load &What, double PerSpell) {
  for (const std::uint64_t Seed : {1U, 2U, 3U, 4U, 5U}) {
    const Outcome Seen = Replay(What, Seed).run();
    const double Ideal = Seen.Spells + Seen.Asked * What.ErrorShare;
    EXPECT_LE(Seen.Lost, Ideal + Seen.Spells * PerSpell)
        << "seed " << Seed << ": " << Seen.Asked << " asked, " << Seen.Spells
        << " spells, ideal " << Ideal;
  }
}

TEST(GrayReplay, TargetsThatFailAtOnceInTurn) { expectFewLost({}, 2); }

TEST(GrayReplay, TargetsThatHangInTurn) {
  Load What;
  What.Hangs = true;
  expectFewLost(What, 2);
}

TEST(GrayReplay, WorkThatMustNotRunTwiceAlone) {
  Load What;
  What.RepeatablePart = 0;
  expectFewLost(What, 2);
}

/// FLOOR of the users' rules: no sound target may go without work for long.
TEST(GrayReplay, SoundTargetsKeepTheirWork) {
  Load What;
  What.Gray = Millis(1);
  What.Sound = Millis(1'000'000);
  const Outcome Seen = Replay(What, 9).run();
  const int Fair = Seen.Asked / What.Targets;
  for (const int Each : Seen.Served)
    EXPECT_GT(Each, Fair / 4);
}

} // namespace
} // namespace siskinstage
