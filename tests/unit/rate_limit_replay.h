#ifndef SISKINSTAGE_TESTS_UNIT_RATE_LIMIT_REPLAY_H
#define SISKINSTAGE_TESTS_UNIT_RATE_LIMIT_REPLAY_H

#include "core/targets/pick.h"
#include "core/targets/placement.h"
#include "core/targets/rate_limit.h"
#include "core/targets/rate_share.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace siskinstage::replay {

/// Load and faults of a replay. All nodes place requests by the core modules,
/// on a virtual clock; the first target states a rate limit.
struct RateLimitLoad {
  std::uint64_t Seed = 1;
  int Nodes = 8;
  int Domains = 4;
  int Targets = 8;
  double Limit = 1;           ///< Of the first target, per second.
  double RequestsPerNode = 4; ///< Per second.
  int DomainsWithCallers = 4; ///< The first ones.
  int LimitedDomain = 0;      ///< Of the first target.
  /// Slots of all targets together, relative to what the load keeps in use.
  double SlotFactor = 2;
  double Loss = 0;          ///< Fraction of the messages between nodes.
  double Late = 0;          ///< Fraction that arrives up to three seconds late.
  int Restarts = 0;         ///< Nodes that are killed and start again.
  double StatedFrom = 1;    ///< Seconds.
  double StatedUntil = 1e9; ///< Seconds.
  double Length = 25;       ///< Seconds.
};

struct RateLimitResult {
  int WorstWindow = 0; ///< Most requests in 4 s from nodes that were told.
  int Allowed = 0;
  double Use =
      0; ///< Requests at the limited target, of those its limit allows.
  double LongestPause = 0; ///< Seconds without a request.
  int Unserved = 0;        ///< Requests for which no target had room.
  int Requests = 0;
  int Messages = 0;
  int BurstAtEnd = 0; ///< Most in flight in the second after the limit's end.
};

/// Divides a limit; the default is that of the nodes.
using Division = std::function<RateShare(double, const ServingGroup &,
                                         const TargetSpec &, const Address &)>;

class RateLimitReplay {
public:
  explicit RateLimitReplay(const RateLimitLoad &Load, Division Divide = {})
      : Load(Load), Divide(std::move(Divide)), Rng(Load.Seed) {
    if (!this->Divide)
      this->Divide = [](double Limit, const ServingGroup &Group,
                        const TargetSpec &Target, const Address &Holder) {
        return rateShare(Limit, Group, Target, Holder);
      };
    for (int I = 0; I < Load.Targets; ++I) {
      TargetSpec Spec;
      Spec.Id = TargetId("t" + std::to_string(I));
      Spec.Domain = domainName(I == 0 ? Load.LimitedDomain : I);
      this->Specs.push_back(Spec);
    }
    const double InUse = Load.RequestsPerNode * Load.Nodes *
                         Load.DomainsWithCallers / Load.Domains * WorkSeconds;
    this->Slots = 1 + static_cast<std::uint32_t>(
                          std::ceil(InUse * Load.SlotFactor / Load.Targets));
    this->TotalInFlight.resize(this->Specs.size());
    for (int I = 0; I < Load.Nodes; ++I)
      this->Members.push_back({NodeId("n" + std::to_string(I)),
                               Address("10.0.0." + std::to_string(I) + ":1"),
                               domainName(I)});
    for (int I = 0; I < Load.Nodes; ++I)
      this->States.push_back(this->freshNode(I));
  }

  RateLimitResult run() {
    this->scheduleArrivals();
    for (int I = 0; I < this->Load.Restarts; ++I)
      this->scheduleRestart(5 + 2.5 * I,
                            static_cast<int>(this->Rng.below(
                                static_cast<std::uint32_t>(this->Load.Nodes))));
    while (!this->Events.empty()) {
      const Event Next = this->Events.top();
      this->Events.pop();
      this->Now = Next.At;
      Next.Action();
    }
    return this->evaluate();
  }

private:
  static constexpr double WorkSeconds = 0.3;
  static constexpr double ContactSeconds = 3;
  static constexpr double ToldSeconds = 0.5;
  static constexpr double WindowSeconds = 4;

  struct Event {
    double At = 0;
    std::uint64_t Order = 0;
    std::function<void()> Action;
    bool operator<(const Event &Other) const {
      return this->At != Other.At ? this->At > Other.At
                                  : this->Order > Other.Order;
    }
  };
  /// One node.
  struct NodeState {
    bool Up = true;
    std::uint64_t Process = 0;
    std::shared_ptr<const ServingGroup> Group;
    std::shared_ptr<const ServingGroup> LimitGroup;
    RateLimit Limit;
    std::vector<std::vector<Instant>> Started;
    double ToldAt = 1e18;
    double ExcusedUntil = -1;
  };
  struct Arrival {
    double At;
    bool Counts;
  };

  RateLimitLoad Load;
  Division Divide;
  Random Rng;
  std::vector<TargetSpec> Specs;
  std::uint32_t Slots = 3;
  std::vector<SteeringNode> Members;
  std::vector<NodeState> States;
  std::priority_queue<Event> Events;
  std::uint64_t NextOrder = 0;
  double Now = 0;
  std::vector<Arrival> AtLimited;
  RateLimitResult Result;
  std::vector<std::uint32_t> TotalInFlight; ///< By target.
  UsualLatency Usual{std::chrono::milliseconds(300),
                     std::chrono::milliseconds(400)};

  [[nodiscard]] FailureDomain domainName(int I) const {
    return FailureDomain("d" + std::to_string(I % this->Load.Domains));
  }
  static Instant instant(double Seconds) {
    return Instant(std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(Seconds + 1000)));
  }
  void schedule(double At, std::function<void()> Action) {
    this->Events.push({At, this->NextOrder++, std::move(Action)});
  }
  NodeState freshNode(int Index) {
    NodeState Fresh;
    Fresh.Started.resize(this->Specs.size());
    Fresh.Group = std::make_shared<ServingGroup>(
        ServingGroup{this->Members, this->memberAt(Index).Endpoint});
    return Fresh;
  }
  [[nodiscard]] const SteeringNode &memberAt(int Index) const {
    return this->Members[static_cast<std::size_t>(Index)];
  }
  NodeState &node(int Index) {
    return this->States[static_cast<std::size_t>(Index)];
  }
  double exponential(double Rate) {
    return -std::log(1 - this->Rng.unit()) / Rate;
  }

  void scheduleArrivals() {
    for (int I = 0; I < this->Load.Nodes; ++I) {
      if (I % this->Load.Domains >= this->Load.DomainsWithCallers)
        continue;
      for (double At = this->exponential(this->Load.RequestsPerNode);
           At < this->Load.Length;
           At += this->exponential(this->Load.RequestsPerNode))
        this->schedule(At, [this, I] { this->place(I); });
    }
  }

  /// The node with index \p Speaker, as the node with index \p Viewer sees it.
  RateLimitSource sourceOf(int Viewer, int Speaker) {
    const Address &Endpoint = this->memberAt(Speaker).Endpoint;
    return {Endpoint,
            isInCharge(Endpoint, this->Load.Limit, *this->node(Viewer).Group,
                       this->Specs.front())};
  }

  void updateShare(NodeState &State) {
    State.Limit.expire(instant(this->Now));
    if (!State.Limit.limited() ||
        (!State.Limit.needsShare() && State.LimitGroup == State.Group))
      return;
    State.LimitGroup = State.Group;
    State.Limit.setShare(this->Divide(State.Limit.state().PerSecond,
                                      *State.Group, this->Specs.front(),
                                      State.Limit.holder()),
                         instant(this->Now));
  }

  void place(int Index) {
    NodeState &State = this->node(Index);
    if (!State.Up)
      return;
    ++this->Result.Requests;
    this->updateShare(State);
    const Instant At = instant(this->Now);
    std::vector<Candidate> Options;
    for (std::size_t I = 0; I < this->Specs.size(); ++I) {
      PlacementTarget Target;
      Target.Index = static_cast<std::uint32_t>(I);
      Target.InFlight = static_cast<std::uint32_t>(State.Started[I].size());
      Target.KnownLoad = this->TotalInFlight[I];
      Target.Capacity = this->Slots;
      Target.SameDomain = this->Specs[I].Domain == this->memberAt(Index).Domain;
      Target.Started = &State.Started[I];
      if (I == 0) {
        Target.MayReceive = State.Limit.allows(At);
        Target.Share = State.Limit.loadShare(At);
      }
      const auto Option =
          candidateOf(Target, RequestTraits{}, this->Usual, At, this->Rng);
      if (Option)
        Options.push_back(*Option);
    }
    Policy Selected = PickDomainFirst{};
    const auto Chosen = pick(Selected, Options, this->Rng);
    if (!Chosen) {
      ++this->Result.Unserved;
      return;
    }
    this->send(Index, *Chosen);
  }

  void send(int Index, std::uint32_t Chosen) {
    NodeState &State = this->node(Index);
    const double Sent = this->Now;
    const bool Shed = this->TotalInFlight[Chosen] >= this->Slots;
    if (Chosen == 0) {
      State.Limit.take(instant(Sent));
      const bool Counts =
          Sent >= State.ToldAt + ToldSeconds && Sent >= State.ExcusedUntil;
      this->AtLimited.push_back({Sent, Counts});
      if (Sent > this->Load.StatedUntil && Sent < this->Load.StatedUntil + 1)
        this->Result.BurstAtEnd =
            std::max(this->Result.BurstAtEnd,
                     static_cast<int>(this->TotalInFlight[0]) + 1);
    }
    if (Shed) {
      ++this->Result.Unserved;
      return;
    }
    State.Started[Chosen].push_back(instant(Sent));
    ++this->TotalInFlight[Chosen];
    const double Work = WorkSeconds * (0.5 + this->Rng.unit());
    this->schedule(Sent + Work, [this, Index, Chosen, Sent,
                                 Process = State.Process] {
      --this->TotalInFlight[Chosen];
      NodeState &Later = this->node(Index);
      if (!Later.Up || Later.Process != Process)
        return;
      auto &Started = Later.Started[Chosen];
      Started.erase(std::find(Started.begin(), Started.end(), instant(Sent)));
      if (Chosen == 0)
        this->respond(Index, Sent);
    });
  }

  void respond(int Index, double Sent) {
    NodeState &State = this->node(Index);
    const bool Stated = this->Now >= this->Load.StatedFrom &&
                        this->Now < this->Load.StatedUntil;
    if (Stated)
      State.ToldAt = std::min(State.ToldAt, this->Now);
    const auto Tell = State.Limit.hear(
        Stated ? std::optional<double>(this->Load.Limit) : std::nullopt,
        instant(Sent), this->sourceOf(Index, Index), instant(this->Now));
    if (!Tell)
      return;
    for (int Peer = 0; Peer < this->Load.Nodes; ++Peer) {
      if (Peer == Index)
        continue;
      ++this->Result.Messages;
      if (this->Rng.unit() < this->Load.Loss)
        continue;
      const bool Late = this->Rng.unit() < this->Load.Late;
      const double Delay = 0.002 + this->Rng.unit() * (Late ? 3 : 0.01);
      this->schedule(this->Now + Delay, [this, Peer, Index, News = *Tell] {
        NodeState &Receiver = this->node(Peer);
        if (Receiver.Up)
          Receiver.Limit.adopt(News, this->sourceOf(Peer, Index),
                               instant(this->Now));
      });
    }
  }

  /// Kills a node at \p At; each of the others notices about 1.5 s later that
  /// it is gone, and half a second after its start that it is back.
  void scheduleRestart(double At, int Index) {
    constexpr double DownSeconds = 2;
    constexpr double GraceSeconds = 3;
    this->schedule(At, [this, Index] { this->node(Index).Up = false; });
    this->schedule(At + DownSeconds, [this, Index] {
      const std::uint64_t Process = this->node(Index).Process + 1;
      this->node(Index) = this->freshNode(Index);
      this->node(Index).Process = Process;
      this->node(Index).ExcusedUntil = this->Now + GraceSeconds;
    });
    for (int Peer = 0; Peer < this->Load.Nodes; ++Peer) {
      if (Peer == Index)
        continue;
      this->schedule(At + 1 + this->Rng.unit(), [this, Peer, Index] {
        this->changeView(Peer, Index, false);
      });
      this->schedule(
          At + DownSeconds + 0.3 + this->Rng.unit() * 0.7,
          [this, Peer, Index] { this->changeView(Peer, Index, true); });
    }
  }

  void changeView(int Peer, int Changed, bool Present) {
    NodeState &State = this->node(Peer);
    ServingGroup View = *State.Group;
    const SteeringNode &Subject = this->memberAt(Changed);
    std::erase_if(View.Nodes, [&](const SteeringNode &Node) {
      return Node.Endpoint == Subject.Endpoint;
    });
    if (Present)
      View.Nodes.push_back(Subject);
    State.Group = std::make_shared<const ServingGroup>(std::move(View));
  }

  RateLimitResult evaluate() {
    const double Start = this->Load.StatedFrom + ContactSeconds;
    const double End = std::min(this->Load.Length, this->Load.StatedUntil);
    std::vector<double> Counted;
    double Last = Start;
    int InTime = 0;
    for (const Arrival &Item : this->AtLimited) {
      if (Item.At < Start || Item.At >= End)
        continue;
      ++InTime;
      this->Result.LongestPause =
          std::max(this->Result.LongestPause, Item.At - Last);
      Last = Item.At;
      if (Item.Counts)
        Counted.push_back(Item.At);
    }
    this->Result.LongestPause = std::max(this->Result.LongestPause, End - Last);
    std::size_t First = 0;
    for (std::size_t I = 0; I < Counted.size(); ++I) {
      while (Counted[I] - Counted[First] >= WindowSeconds)
        ++First;
      this->Result.WorstWindow =
          std::max(this->Result.WorstWindow, static_cast<int>(I - First + 1));
    }
    this->Result.Allowed =
        static_cast<int>(1.5 * this->Load.Limit * WindowSeconds + 5);
    this->Result.Use = InTime / ((End - Start) * this->Load.Limit);
    return this->Result;
  }
};

} // namespace siskinstage::replay

#endif // SISKINSTAGE_TESTS_UNIT_RATE_LIMIT_REPLAY_H
