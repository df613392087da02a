#include "core/membership.h"
#include "siskinstage/config.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <rapidcheck/gtest.h>
#include <set>

namespace siskinstage {
namespace {

/// Some nodes on a virtual clock and a network that loses, delays and cuts.
class VirtualFleet {
public:
  VirtualFleet(int Count, std::uint64_t Seed) : Dice(Seed) {
    for (int I = 0; I < Count; ++I)
      this->start(I);
  }

  static Address addressOf(int Index) {
    return Address("10.0.0." + std::to_string(Index + 1) + ":80");
  }

  void start(int Index) {
    Member Self;
    Self.Endpoint = addressOf(Index);
    Self.Id = NodeId("n" + std::to_string(Index));
    Self.Process = {this->NextProcess++};
    Self.StateVersion = {1};
    auto New = std::make_unique<Membership>(Self, this->NextProcess);
    New->setSeeds({addressOf(0), addressOf(1)});
    this->Nodes[Self.Endpoint] = std::move(New);
    this->Stopped.erase(Self.Endpoint);
  }

  void kill(int Index) { this->Nodes.erase(addressOf(Index)); }
  void pause(int Index) { this->Stopped.insert(addressOf(Index)); }
  void wake(int Index) { this->Stopped.erase(addressOf(Index)); }
  void cut(int From, int To, bool Is) {
    const auto Link = std::make_pair(addressOf(From), addressOf(To));
    if (Is)
      this->Cuts.insert(Link);
    else
      this->Cuts.erase(Link);
  }
  void setLoss(double Share) { this->Loss = Share; }

  void run(double Seconds) {
    const Instant End =
        this->Now + std::chrono::milliseconds(static_cast<int>(Seconds * 1000));
    while (this->Now < End) {
      this->Now += std::chrono::milliseconds(50);
      for (auto &[Where, Node] : this->Nodes)
        if (this->Stopped.count(Where) == 0)
          this->post(Where, Node->tick(this->Now));
      this->deliver();
    }
  }

  std::size_t liveAt(int Index) {
    return this->Nodes.at(addressOf(Index))->live().size();
  }
  Membership &at(int Index) { return *this->Nodes.at(addressOf(Index)); }

  /// Whether each running node sees exactly the running nodes.
  bool converged() {
    for (auto &[Where, Node] : this->Nodes) {
      std::set<Address> Seen;
      for (const Member &Each : Node->live())
        Seen.insert(Each.Endpoint);
      for (auto &[Other, Ignored] : this->Nodes)
        if (Seen.erase(Other) == 0)
          return false;
      if (!Seen.empty())
        return false;
    }
    return true;
  }

private:
  struct Mail {
    Address From;
    OutgoingGossip What;
  };
  Random Dice;
  Instant Now{std::chrono::seconds(1000)};
  std::uint64_t NextProcess = 1;
  double Loss = 0;
  std::map<Address, std::unique_ptr<Membership>> Nodes;
  std::set<Address> Stopped;
  std::set<std::pair<Address, Address>> Cuts;
  std::vector<Mail> Mails;

  void post(const Address &From, std::vector<OutgoingGossip> Out) {
    for (OutgoingGossip &Each : Out)
      this->Mails.push_back({From, std::move(Each)});
  }

  void deliver() {
    // Answers travel in the same step: the network is much faster than a tick.
    for (int Hop = 0; Hop < 4; ++Hop) {
      std::vector<Mail> Travelling;
      std::swap(Travelling, this->Mails);
      for (const Mail &Each : Travelling)
        this->deliverOne(Each);
    }
  }

  void deliverOne(const Mail &Each) {
    const auto To = this->Nodes.find(Each.What.To);
    if (To == this->Nodes.end() || this->Stopped.count(Each.What.To) > 0 ||
        this->Cuts.count({Each.From, Each.What.To}) > 0 ||
        this->Dice.unit() < this->Loss)
      return;
    this->post(Each.What.To, To->second->receive(Each.What.Message, this->Now));
  }
};

TEST(Membership, AColdStartOfAllAtOnceConverges) {
  VirtualFleet Fleet(20, 1);
  Fleet.run(30);
  EXPECT_TRUE(Fleet.converged());
}

TEST(Membership, SmallColdStartsConverge) {
  // Seed 0 with nine members left two that never heard of each other: the few
  // repeats of their joins had run out before both were known anywhere.
  for (std::uint64_t Seed = 0; Seed < 50; ++Seed)
    for (const int Count : {3, 5, 9}) {
      VirtualFleet Fleet(Count, Seed);
      Fleet.run(75);
      EXPECT_TRUE(Fleet.converged()) << Count << " members, seed " << Seed;
    }
}

TEST(Membership, NoticesADeadMember) {
  VirtualFleet Fleet(12, 2);
  Fleet.run(20);
  Fleet.kill(5);
  Fleet.run(30);
  EXPECT_TRUE(Fleet.converged());
}

TEST(Membership, LossAloneKillsNobody) {
  VirtualFleet Fleet(12, 3);
  Fleet.run(20);
  Fleet.setLoss(0.1);
  for (int I = 0; I < 60; ++I) {
    Fleet.run(2);
    EXPECT_EQ(Fleet.liveAt(I % 12), 12U);
  }
}

TEST(Membership, AOneWayCutKillsNobody) {
  VirtualFleet Fleet(12, 4);
  Fleet.run(20);
  Fleet.cut(3, 7, true);
  for (int I = 0; I < 30; ++I) {
    Fleet.run(2);
    EXPECT_EQ(Fleet.liveAt(0), 12U);
  }
}

TEST(Membership, APausedMemberComesBackAndBlamesNobody) {
  VirtualFleet Fleet(12, 5);
  Fleet.run(20);
  Fleet.pause(4);
  Fleet.run(40);
  EXPECT_EQ(Fleet.liveAt(0), 11U);
  Fleet.wake(4);
  Fleet.run(20);
  EXPECT_TRUE(Fleet.converged());
}

TEST(Membership, ARestartUnderTheSameAddressIsANewMember) {
  VirtualFleet Fleet(8, 6);
  Fleet.run(20);
  const Incarnation Before = Fleet.at(3).self().Process;
  Fleet.kill(3);
  Fleet.start(3);
  Fleet.run(20);
  EXPECT_TRUE(Fleet.converged());
  for (const Member &Each : Fleet.at(0).live())
    if (Each.Endpoint == VirtualFleet::addressOf(3)) {
      EXPECT_NE(Each.Process, Before);
    }
}

TEST(Membership, BothHalvesGoOnAndHeal) {
  VirtualFleet Fleet(12, 7);
  Fleet.run(20);
  for (int I = 0; I < 12; ++I)
    for (int J = 0; J < 12; ++J)
      if (I % 2 != J % 2)
        Fleet.cut(I, J, true);
  Fleet.run(60);
  EXPECT_EQ(Fleet.liveAt(0), 6U);
  EXPECT_EQ(Fleet.liveAt(1), 6U);
  for (int I = 0; I < 12; ++I)
    for (int J = 0; J < 12; ++J)
      Fleet.cut(I, J, false);
  Fleet.run(60);
  EXPECT_TRUE(Fleet.converged());
}

TEST(Membership, ALeaverIsGoneAtOnce) {
  VirtualFleet Fleet(8, 8);
  Fleet.run(20);
  auto Farewell = Fleet.at(2).leave(Instant{});
  EXPECT_FALSE(Farewell.empty());
  for (const OutgoingGossip &Each : Farewell)
    EXPECT_TRUE(std::any_of(
        Each.Message.Updates.begin(), Each.Message.Updates.end(),
        [](const Member &Claim) { return Claim.State == MemberState::Left; }));
}

RC_GTEST_PROP(MembershipProperty, ConvergesOnceFaultsEnd, ()) {
  const int Count = *rc::gen::inRange(3, 10);
  VirtualFleet Fleet(Count, *rc::gen::arbitrary<std::uint64_t>());
  Fleet.run(15);
  const int Events = *rc::gen::inRange(0, 8);
  for (int I = 0; I < Events; ++I) {
    const int Node = *rc::gen::inRange(0, Count);
    const int Other = *rc::gen::inRange(0, Count);
    switch (*rc::gen::inRange(0, 4)) {
    case 0:
      Fleet.kill(Node);
      Fleet.start(Node);
      break;
    case 1:
      Fleet.pause(Node);
      break;
    case 2:
      Fleet.cut(Node, Other, true);
      break;
    default:
      Fleet.setLoss(*rc::gen::inRange(0, 30) / 100.0);
    }
    Fleet.run(*rc::gen::inRange(1, 15));
  }
  Fleet.setLoss(0);
  for (int I = 0; I < Count; ++I) {
    Fleet.wake(I);
    for (int J = 0; J < Count; ++J)
      Fleet.cut(I, J, false);
  }
  Fleet.run(60);
  RC_ASSERT(Fleet.converged());
}

} // namespace
} // namespace siskinstage
