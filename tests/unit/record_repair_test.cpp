#include "core/records/recent_records.h"
#include "core/records/record_broadcast.h"
#include "core/records/record_repair.h"
#include "siskinstage/config.h"

#include <gtest/gtest.h>
#include <queue>

namespace siskinstage {
namespace {

const Instant Start{Millis(60'000)};

RecordUpdate update(const std::string &Name, std::uint64_t Rev) {
  return {{RecordKind::Target, Name}, {Rev}, "{}"};
}

TEST(RecentRecords, OnlyWhatTheOtherNodeLacksIsSent) {
  RecentRecords Own;
  RecentRecords Other;
  for (std::uint64_t Rev = 1; Rev <= 5; ++Rev) {
    Own.add(update("t" + std::to_string(Rev), Rev), Start);
    if (Rev != 3)
      Other.add(update("t" + std::to_string(Rev), Rev), Start);
  }
  Own.add(update("t1", 6), Start);
  const auto Missing = Own.missingFrom(Other.marks(Start), Start);
  ASSERT_EQ(Missing.size(), 2U);
  EXPECT_EQ(Missing[0].Rev, Revision{3});
  EXPECT_EQ(Missing[1].Rev, Revision{6});
  EXPECT_TRUE(Own.missingFrom(Own.marks(Start), Start).empty());
}

TEST(RecentRecords, MessagesAndAgesAreBounded) {
  RecentRecords Recent;
  for (std::uint64_t Rev = 1; Rev <= 1'000; ++Rev)
    Recent.add(update("t" + std::to_string(Rev), Rev), Start);
  EXPECT_EQ(Recent.marks(Start).size(), config::MaxRecordMarks);
  EXPECT_EQ(Recent.missingFrom({}, Start).size(), config::MaxRequestedRecords);
  const Instant Later = Start + config::RecentRecordTime + Millis(1);
  EXPECT_TRUE(Recent.marks(Later).empty());
  EXPECT_TRUE(Recent.missingFrom({}, Later).empty());
}

TEST(RecordRepair, RequestsAndComparisonsHaveTheirPeriods) {
  RecordRepair Repair;
  int Requests = 0;
  int Comparisons = 0;
  for (Instant Now = Start; Now < Start + Millis(3'000); Now += Millis(10)) {
    const auto Actions = Repair.onDigest(true, Now);
    Requests += Actions.Request ? 1 : 0;
    Comparisons += Actions.Compare ? 1 : 0;
  }
  EXPECT_EQ(Requests, 20);
  EXPECT_EQ(Comparisons, 3);
}

// A target that all others had forgotten stayed in use at one node.
TEST(RecordRepair, ASingleNodeThatDiffersAmongManyIsComparedWith) {
  RecordRepair Repair;
  for (Instant Now = Start; Now < Start + Millis(2'000); Now += Millis(50)) {
    const auto Actions = Repair.onDigest(false, Now);
    EXPECT_FALSE(Actions.Request || Actions.Compare);
  }
  EXPECT_TRUE(Repair.onDigest(true, Start + Millis(2'000)).Compare);
}

constexpr Millis Delay{2};
constexpr Millis TimeLimit{1'200};

/// A failure domain of large and small nodes, some of which are dead without
/// the others knowing it, on links that lose datagrams.
struct Domain {
  Domain(int Large, int Small, double Loss, std::uint64_t Seed)
      : Loss(Loss), Rng(Seed) {
    for (int I = 0; I < Large + Small; ++I) {
      Member Node;
      Node.Endpoint = Address("10.0.0." + std::to_string(I) + ":1");
      Node.Domain = FailureDomain("a");
      Node.Capacity = I < Large ? 500 : 70;
      this->Members.push_back(Node);
    }
    this->Nodes.resize(this->Members.size());
  }

  struct Node {
    bool Dead = false;
    bool Applied = false;
    RecentRecords Recent;
    RecordRepair Repair;
  };
  struct Event {
    Instant At;
    std::size_t To = 0;
    std::size_t From = 0;
    enum class Kind { Digest, Request, Update, Tick } Type = Kind::Tick;
    bool FromApplied = false;
    std::vector<std::uint32_t> Known;
    bool operator>(const Event &Other) const { return this->At > Other.At; }
  };

  void send(std::size_t From, std::size_t To, Event::Kind Type, Instant Now) {
    if (this->Rng.unit() >= this->Loss)
      this->Events.push({Now + Delay, To, From, Type, this->Nodes[From].Applied,
                         this->Nodes[From].Recent.marks(Now)});
  }
  void apply(std::size_t At, const RecordSender &From, Instant Now) {
    Node &Applying = this->Nodes[At];
    if (std::exchange(Applying.Applied, true))
      return;
    Applying.Recent.add(update("t", 1), Now);
    for (const Address &To :
         broadcastRecipients(this->Members, this->Members[At], From, this->Rng))
      for (std::size_t I = 0; I < this->Members.size(); ++I)
        if (this->Members[I].Endpoint == To)
          this->send(At, I, Event::Kind::Update, Now);
  }
  void handle(const Event &Item) {
    Node &Own = this->Nodes[Item.To];
    if (Own.Dead)
      return;
    if (Item.Type == Event::Kind::Tick) {
      const auto Peer =
          this->Rng.below(static_cast<std::uint32_t>(this->Members.size()));
      this->send(Item.To, Peer, Event::Kind::Digest, Item.At);
      this->send(Peer, Item.To, Event::Kind::Digest, Item.At + Delay);
      this->Events.push({Item.At + config::GossipPeriod, Item.To});
    } else if (Item.Type == Event::Kind::Update) {
      this->apply(Item.To,
                  {RecordSource::OwnDomain, this->Members[Item.From].Endpoint},
                  Item.At);
    } else if (Item.Type == Event::Kind::Request) {
      if (!Own.Recent.missingFrom(Item.Known, Item.At).empty())
        this->send(Item.To, Item.From, Event::Kind::Update, Item.At);
    } else if (Own.Repair.onDigest(Item.FromApplied != Own.Applied, Item.At)
                   .Request) {
      this->send(Item.To, Item.From, Event::Kind::Request, Item.At);
    }
  }
  /// How many live nodes lack a record TimeLimit after it reaches \p First.
  std::size_t lacking(std::size_t First, RecordSource Source) {
    for (std::size_t I = 0; I < this->Nodes.size(); ++I)
      this->Events.push(
          {Start + Millis(this->Rng.below(config::GossipPeriod.count())), I});
    this->apply(First, {Source, {}}, Start);
    while (this->Events.top().At < Start + TimeLimit) {
      const Event Next = this->Events.top();
      this->Events.pop();
      this->handle(Next);
    }
    return static_cast<std::size_t>(std::count_if(
        this->Nodes.begin(), this->Nodes.end(),
        [](const Node &Item) { return !Item.Dead && !Item.Applied; }));
  }

  double Loss;
  Random Rng;
  std::vector<Member> Members;
  std::vector<Node> Nodes;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> Events;
};

// A lost update was made up for by comparisons only, once a second.
TEST(RecordSpreadReplay, LostUpdatesReachAllNodesOfADomainInTime) {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed)
    EXPECT_EQ(Domain(2, 56, 0.1, Seed).lacking(0, RecordSource::OtherDomain),
              0U)
        << Seed;
}

TEST(RecordSpreadReplay, ADomainWhoseLargeNodesAreDeadGetsUpdatesInTime) {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    Domain Small(2, 56, 0.02, Seed);
    Small.Nodes[0].Dead = Small.Nodes[1].Dead = true;
    EXPECT_EQ(Small.lacking(2, RecordSource::OtherDomain), 0U) << Seed;
  }
}

} // namespace
} // namespace siskinstage
