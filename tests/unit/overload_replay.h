#ifndef SISKINSTAGE_TESTS_UNIT_OVERLOAD_REPLAY_H
#define SISKINSTAGE_TESTS_UNIT_OVERLOAD_REPLAY_H

#include "core/targets/pick.h"
#include "core/targets/placement.h"
#include "siskinstage/config.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>

namespace siskinstage::overload_replay {

/// More or fewer requests than a service with queues at its targets can run.
struct Scenario {
  double Load = 1;     ///< Arrivals, as a fraction of what the targets can run.
  bool Divided = true; ///< Each target has one entry that fills it.
  int Entries = 6;
  int Domains = 3; ///< Entries and targets are assigned to them in turn.
  int Targets = 60;
  std::uint32_t Slots = 3;      ///< Of each target.
  std::size_t TargetQueue = 12; ///< Requests that wait at a target.
  Millis MeanServiceTime{320};
  Millis Objective{1'000};
  Millis MaxWait{1'600}; ///< At the entry.
  Millis Length{6'000};
};

struct ReplayResult {
  int Arrived = 0;
  int InTime = 0;   ///< Served within the objective.
  int Sent = 0;     ///< To targets.
  int Rejected = 0; ///< By targets whose queue was full.
};

/// Runs the product's placement at several entries against targets with slots
/// and queues, on a virtual clock with steps of a millisecond.
class Replay {
public:
  Replay(const Scenario &Settings, std::uint64_t Seed)
      : Settings(Settings), Rng(Seed) {
    const auto Count = static_cast<std::size_t>(Settings.Targets);
    this->Targets.resize(Count);
    this->Entries.resize(static_cast<std::size_t>(Settings.Entries));
    for (Entry &Node : this->Entries)
      Node.Views.resize(Count);
  }

  ReplayResult run() {
    const double PerMillisecond =
        this->Settings.Load * this->Settings.Targets * this->Settings.Slots /
        static_cast<double>(this->Settings.MeanServiceTime.count());
    double Due = 0;
    for (Instant End = this->Now + this->Settings.Length; this->Now < End;
         this->Now += Millis(1)) {
      this->finishRequests();
      for (Due += PerMillisecond; Due >= 1; --Due) {
        ++this->Result.Arrived;
        const auto Chosen =
            this->Rng.below(static_cast<std::uint32_t>(this->Entries.size()));
        this->Entries[Chosen].Waiting.push_back(this->Now);
      }
      for (std::size_t I = 0; I < this->Entries.size(); ++I)
        this->placeWaiting(I);
    }
    return this->Result;
  }

private:
  struct Request {
    std::size_t Node = 0;
    Instant Arrived;
  };
  struct Target {
    std::multimap<Instant, Request> Running; ///< By the time of their end.
    std::deque<Request> Queue;
  };
  struct TargetView {
    std::vector<Instant> Started;
    std::uint32_t Reported = 0;
    Instant ReportedAt;
  };
  struct Entry {
    std::vector<TargetView> Views; ///< By target.
    std::deque<Instant> Waiting;   ///< When they arrived.
  };

  Scenario Settings;
  Random Rng;
  Instant Now{std::chrono::seconds(100)};
  std::vector<Target> Targets;
  std::vector<Entry> Entries;
  Policy Selected = makePolicy(RoutingPolicy::DomainFirst);
  ReplayResult Result;

  void start(Target &Server, const Request &Work) {
    const std::chrono::duration<double, std::milli> Time =
        this->Settings.MeanServiceTime * -std::log(1 - this->Rng.unit());
    Server.Running.emplace(
        this->Now + std::chrono::duration_cast<Duration>(Time), Work);
  }

  void respond(std::size_t Index, const Request &Work, std::uint32_t Load) {
    TargetView &View = this->Entries[Work.Node].Views[Index];
    View.Started.pop_back();
    View.Reported = Load;
    View.ReportedAt = this->Now;
  }

  void finishRequests() {
    for (std::size_t I = 0; I < this->Targets.size(); ++I) {
      Target &Server = this->Targets[I];
      while (!Server.Running.empty() &&
             Server.Running.begin()->first <= this->Now) {
        const Request Done = Server.Running.begin()->second;
        Server.Running.erase(Server.Running.begin());
        if (!Server.Queue.empty()) {
          this->start(Server, Server.Queue.front());
          Server.Queue.pop_front();
        }
        this->respond(I, Done,
                      static_cast<std::uint32_t>(Server.Running.size() +
                                                 Server.Queue.size()));
        this->Result.InTime +=
            this->Now - Done.Arrived <= this->Settings.Objective ? 1 : 0;
      }
    }
  }

  [[nodiscard]] bool isAssigned(std::size_t Node, std::size_t Index) const {
    const auto Domains = static_cast<std::size_t>(this->Settings.Domains);
    return Node % Domains == Index % Domains &&
           Node / Domains == Index / Domains % (this->Entries.size() / Domains);
  }

  std::optional<std::uint32_t> choose(std::size_t Node) {
    std::vector<Candidate> Candidates;
    const auto Domains = static_cast<std::size_t>(this->Settings.Domains);
    std::uint32_t InFlight = 0;
    std::uint32_t OwnSlots = 0;
    for (std::size_t I = 0; I < this->Targets.size(); ++I) {
      InFlight += static_cast<std::uint32_t>(
          this->Entries[Node].Views[I].Started.size());
      OwnSlots += this->isAssigned(Node, I) ? this->Settings.Slots : 0;
    }
    const bool Restricted =
        this->Settings.Divided && exceedsOwnSlots(InFlight, OwnSlots);
    for (std::uint32_t I = 0; I < this->Targets.size(); ++I) {
      const TargetView &View = this->Entries[Node].Views[I];
      PlacementTarget State;
      State.Index = I;
      State.InFlight = static_cast<std::uint32_t>(View.Started.size());
      State.Capacity = this->Settings.Slots;
      State.SameDomain = I % Domains == Node % Domains;
      State.Started = &View.Started;
      State.Assigned = !Restricted || this->isAssigned(Node, I);
      if (this->Now - View.ReportedAt < config::ReportedLoadMaxAge)
        State.KnownLoad = View.Reported;
      if (const auto Option = candidateOf(State, {}, {Millis(280), Millis(700)},
                                          this->Now, this->Rng))
        Candidates.push_back(*Option);
    }
    return pick(this->Selected, Candidates, this->Rng);
  }

  void placeWaiting(std::size_t Node) {
    std::deque<Instant> &Waiting = this->Entries[Node].Waiting;
    while (!Waiting.empty()) {
      if (this->Now - Waiting.front() > this->Settings.MaxWait) {
        Waiting.pop_front();
        continue;
      }
      const auto Chosen = this->choose(Node);
      if (!Chosen)
        return;
      const Request Work = {Node, Waiting.front()};
      Waiting.pop_front();
      TargetView &View = this->Entries[Node].Views[*Chosen];
      View.Started.push_back(this->Now);
      ++View.Reported;
      ++this->Result.Sent;
      Target &Server = this->Targets[*Chosen];
      if (Server.Running.size() < this->Settings.Slots)
        this->start(Server, Work);
      else if (Server.Queue.size() < this->Settings.TargetQueue)
        Server.Queue.push_back(Work);
      else {
        ++this->Result.Rejected;
        this->respond(*Chosen, Work,
                      static_cast<std::uint32_t>(Server.Running.size() +
                                                 Server.Queue.size()));
      }
    }
  }
};

} // namespace siskinstage::overload_replay

#endif // SISKINSTAGE_TESTS_UNIT_OVERLOAD_REPLAY_H
