#include "core/fleet/confirmation_poll.h"
#include "core/fleet/confirmed_view.h"
#include "core/random.h"

#include <functional>
#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>

namespace siskinstage {
namespace {

constexpr Millis Step{50};
constexpr Millis RunTime{25'000};

/// A fleet on a virtual clock whose messages are lost, delayed, reordered and
/// duplicated, and whose nodes freeze and restart.
class ViewFleet {
public:
  ViewFleet(std::uint64_t Seed, std::size_t NodeCount, double Trouble)
      : Rng(Seed), Trouble(Trouble) {
    for (std::size_t I = 0; I < NodeCount; ++I) {
      Nodes.emplace_back(Millis(Rng.below(1'000'000'000)), Rng.below(1U << 30));
      All.push_back({NodeId(std::to_string(I)), Address(std::to_string(I)),
                     FailureDomain(I % 2 == 0 ? "a" : "b"), 0, false});
    }
  }

  /// Runs to the end. \returns the number of steps with a confirmed view.
  int run() {
    int Confirmed = 0;
    for (; this->Now < RunTime; this->Now += Step) {
      this->change();
      const auto Due = this->Events.upper_bound(this->Now);
      std::vector<std::function<void()>> Actions;
      for (auto It = this->Events.begin(); It != Due; ++It)
        Actions.push_back(std::move(It->second));
      this->Events.erase(this->Events.begin(), Due);
      for (const auto &Action : Actions)
        Action();
      for (std::size_t I = 0; I < this->Nodes.size(); ++I) {
        this->act(I);
        Confirmed += this->check(this->Nodes[I]);
      }
    }
    return Confirmed;
  }

private:
  struct SimulatedNode {
    SimulatedNode(Millis Offset, std::uint64_t Seed)
        : ClockOffset(Offset), Poll(Seed) {}
    Millis ClockOffset; ///< Of its boot clock.
    ConfirmedView View;
    ConfirmationPoll Poll;
    Millis FrozenUntil{};
    std::optional<Instant> LastConfirmed;
    int Process = 0;
  };

  Random Rng;
  double Trouble;
  std::vector<SimulatedNode> Nodes;
  std::vector<SteeringNode> All;
  Millis Now{};
  std::multimap<Millis, std::function<void()>> Events;
  /// Times at which the store acknowledged revisions 1, 2, ...
  std::vector<Millis> Acknowledged = {Millis::zero()};

  bool chance(double Probability) { return this->Rng.unit() < Probability; }
  Instant clock(const SimulatedNode &Node) const {
    return Instant(this->Now + Node.ClockOffset);
  }
  Revision storeRevision(Millis At) const {
    Revision Rev;
    for (const Millis Time : this->Acknowledged)
      Rev.Value += Time <= At ? 1 : 0;
    return Rev;
  }
  Millis delay() {
    return Millis(this->Rng.below(this->chance(Trouble) ? 8'000 : 100));
  }
  /// Runs \p Action at node \p I after a delay, unless the message is lost or
  /// the node restarts; later if it is frozen, and perhaps twice.
  void deliver(std::size_t I, const std::function<void()> &Action) {
    const int Copies = this->chance(Trouble / 4) ? 2 : 1;
    for (int Copy = 0; Copy < Copies; ++Copy)
      if (!this->chance(Trouble / 2))
        this->Events.emplace(this->Now + this->delay(),
                             [this, I, Process = this->Nodes[I].Process,
                              Action] { this->runAt(I, Process, Action); });
  }
  void runAt(std::size_t I, int Process, const std::function<void()> &Action) {
    const SimulatedNode &Node = this->Nodes[I];
    if (Node.Process != Process)
      return;
    if (this->Now < Node.FrozenUntil)
      this->Events.emplace(Node.FrozenUntil, [this, I, Process, Action] {
        this->runAt(I, Process, Action);
      });
    else
      Action();
  }

  void change() {
    if (this->chance(0.03))
      this->Acknowledged.push_back(this->Now);
    for (SimulatedNode &Node : this->Nodes) {
      if (this->chance(Trouble / 100))
        Node.FrozenUntil = this->Now + Millis(this->Rng.below(9'000));
      if (!this->chance(Trouble / 200))
        continue;
      // A restarted node may begin with an old configuration.
      const Revision Old = {this->Rng.below(
          static_cast<std::uint32_t>(Node.View.applied().Value) + 1)};
      Node.View = ConfirmedView();
      Node.View.setApplied(Old);
      Node.Poll = ConfirmationPoll(this->Rng.below(1U << 30));
      Node.LastConfirmed.reset();
      ++Node.Process;
    }
  }

  void act(std::size_t I) {
    SimulatedNode &Node = this->Nodes[I];
    if (this->Now < Node.FrozenUntil)
      return;
    const bool Watcher = I < 2;
    if (Watcher && this->chance(0.1))
      this->read(I);
    const PollPlan Plan = planPolls(this->All[I].Endpoint, this->All[I].Domain,
                                    {All[0], All[1]}, {All[0], All[1], All[2]},
                                    Millis(5'000), this->Rng.below(1'000));
    if (const auto Request = Node.Poll.next(Plan, this->clock(Node)))
      this->poll(I, *Request);
  }

  void read(std::size_t I) {
    const Instant Start = this->clock(this->Nodes[I]);
    this->Events.emplace(this->Now + this->delay(), [this, I, Start] {
      SimulatedNode &Node = this->Nodes[I];
      Revision Read = this->storeRevision(this->Now);
      // An old state is below one that the node has seen.
      const Revision Seen = Node.View.storeRevision();
      if (Seen.Value > 0 && this->chance(Trouble / 2))
        Read = {this->Rng.below(static_cast<std::uint32_t>(Seen.Value))};
      this->deliver(I, [this, I, Start, Read] {
        if (this->Nodes[I].View.noteStoreRevision(Read))
          this->offer(I, Start, Read);
      });
    });
  }

  void offer(std::size_t I, Instant At, Revision Needed) {
    this->Nodes[I].View.offer(At, Needed);
    if (Needed > this->Nodes[I].View.applied())
      this->deliver(
          I, [this, I, Needed] { this->Nodes[I].View.setApplied(Needed); });
  }

  void poll(std::size_t I, const ConfirmationPoll::Request &Request) {
    const std::size_t Peer = std::stoul(Request.Peer.str());
    this->deliver(Peer, [this, I, Peer, Request] {
      const SimulatedNode &Asked = this->Nodes[Peer];
      const auto Age = Asked.View.age(this->clock(Asked));
      const Revision Applied = Asked.View.applied();
      const Revision Seen = Asked.View.storeRevision();
      this->deliver(I, [this, I, Request, Age, Applied, Seen] {
        SimulatedNode &Node = this->Nodes[I];
        Node.View.noteStoreRevision(Seen);
        const auto SentAt = Node.Poll.receive(Request.Peer, Request.Sequence);
        if (SentAt && Age)
          this->offer(I, *SentAt - *Age, Applied);
      });
    });
  }

  /// Compares the view of \p Node with the store. \returns 1 if it is
  /// confirmed.
  int check(SimulatedNode &Node) {
    const Instant Clock = this->clock(Node);
    const auto Age = Node.View.age(Clock);
    if (!Age)
      return 0;
    const Instant Confirmed = Clock - *Age;
    if (Node.LastConfirmed)
      RC_ASSERT(Confirmed >= *Node.LastConfirmed);
    Node.LastConfirmed = Confirmed;
    const auto At = std::chrono::duration_cast<Millis>(
        Confirmed.time_since_epoch() - Node.ClockOffset);
    RC_ASSERT(this->storeRevision(At) <= Node.View.applied());
    return 1;
  }
};

/// Guards against a view that is shown younger than it is: a node would serve a
/// key that was revoked longer ago than the limit.
RC_GTEST_PROP(ConfirmedViewProperty, TheViewIsNeverYoungerThanTheTruth, ()) {
  const auto Seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
  const auto Nodes = *rc::gen::inRange<std::size_t>(3, 8);
  const double Trouble = *rc::gen::inRange(0, 60) / 100.0;
  const int Confirmed = ViewFleet(Seed, Nodes, Trouble).run();
  RC_ASSERT(Confirmed > 0);
}

} // namespace
} // namespace siskinstage
