#include "core/fleet/membership.h"
#include "siskinstage/config.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <rapidcheck/gtest.h>
#include <set>

namespace siskinstage {
namespace {

/// Nodes on a virtual clock, with a simulated network that can lose datagrams
/// and block links in one direction.
class VirtualFleet {
public:
  VirtualFleet(int Count, std::uint64_t Seed) : RandomSource(Seed) {
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
    this->Paused.erase(Self.Endpoint);
  }

  void kill(int Index) { this->Nodes.erase(addressOf(Index)); }
  void pause(int Index) { this->Paused.insert(addressOf(Index)); }
  void resume(int Index) { this->Paused.erase(addressOf(Index)); }
  void cut(int From, int To, bool Blocked) {
    const auto Link = std::make_pair(addressOf(From), addressOf(To));
    if (Blocked)
      this->BlockedLinks.insert(Link);
    else
      this->BlockedLinks.erase(Link);
  }
  void setLossRate(double Rate) { this->LossRate = Rate; }

  void run(double Seconds) {
    const Instant End =
        this->Now + std::chrono::milliseconds(static_cast<int>(Seconds * 1000));
    while (this->Now < End) {
      this->Now += std::chrono::milliseconds(50);
      for (auto &[Endpoint, Node] : this->Nodes)
        if (this->Paused.count(Endpoint) == 0)
          this->send(Endpoint, Node->tick(this->Now));
      this->deliver();
    }
  }

  std::size_t liveAt(int Index) {
    return this->Nodes.at(addressOf(Index))->live().size();
  }
  Membership &at(int Index) { return *this->Nodes.at(addressOf(Index)); }

  /// Whether the live members at each started node are exactly the started
  /// nodes.
  bool converged() {
    for (auto &[Endpoint, Node] : this->Nodes) {
      std::set<Address> Seen;
      for (const Member &Listed : Node->live())
        Seen.insert(Listed.Endpoint);
      for (auto &[Other, Ignored] : this->Nodes)
        if (Seen.erase(Other) == 0)
          return false;
      if (!Seen.empty())
        return false;
    }
    return true;
  }

private:
  struct Datagram {
    Address From;
    OutgoingGossip Outgoing;
  };
  Random RandomSource;
  Instant Now{std::chrono::seconds(1000)};
  std::uint64_t NextProcess = 1;
  double LossRate = 0;
  std::map<Address, std::unique_ptr<Membership>> Nodes;
  std::set<Address> Paused;
  std::set<std::pair<Address, Address>> BlockedLinks;
  std::vector<Datagram> InFlight;

  void send(const Address &From, std::vector<OutgoingGossip> Out) {
    for (OutgoingGossip &Outgoing : Out)
      this->InFlight.push_back({From, std::move(Outgoing)});
  }

  void deliver() {
    // Responses are delivered in the same step, since the network is much
    // faster than a tick.
    for (int Hop = 0; Hop < 4; ++Hop) {
      std::vector<Datagram> Delivered;
      std::swap(Delivered, this->InFlight);
      for (const Datagram &Sent : Delivered)
        this->deliverOne(Sent);
    }
  }

  void deliverOne(const Datagram &Sent) {
    const auto To = this->Nodes.find(Sent.Outgoing.To);
    if (To == this->Nodes.end() || this->Paused.count(Sent.Outgoing.To) > 0 ||
        this->BlockedLinks.count({Sent.From, Sent.Outgoing.To}) > 0 ||
        this->RandomSource.unit() < this->LossRate)
      return;
    this->send(Sent.Outgoing.To,
               To->second->receive(Sent.Outgoing.Message, this->Now));
  }
};

TEST(Membership, AColdStartOfAllAtOnceConverges) {
  VirtualFleet Fleet(20, 1);
  Fleet.run(30);
  EXPECT_TRUE(Fleet.converged());
}

TEST(Membership, SmallColdStartsConverge) {
  // Guards against a cold start that leaves two members unknown to each other:
  // the retransmissions of their joins can end before any member knows both, as
  // with nine members and seed 0.
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
  Fleet.setLossRate(0.1);
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
  Fleet.resume(4);
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
  for (const Member &Node : Fleet.at(0).live())
    if (Node.Endpoint == VirtualFleet::addressOf(3)) {
      EXPECT_NE(Node.Process, Before);
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
  auto LeaveMessages = Fleet.at(2).leave(Instant{});
  EXPECT_FALSE(LeaveMessages.empty());
  for (const OutgoingGossip &Outgoing : LeaveMessages)
    EXPECT_TRUE(std::any_of(
        Outgoing.Message.Updates.begin(), Outgoing.Message.Updates.end(),
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
      Fleet.setLossRate(*rc::gen::inRange(0, 30) / 100.0);
    }
    Fleet.run(*rc::gen::inRange(1, 15));
  }
  Fleet.setLossRate(0);
  for (int I = 0; I < Count; ++I) {
    Fleet.resume(I);
    for (int J = 0; J < Count; ++J)
      Fleet.cut(I, J, false);
  }
  Fleet.run(60);
  RC_ASSERT(Fleet.converged());
}

} // namespace
} // namespace siskinstage
