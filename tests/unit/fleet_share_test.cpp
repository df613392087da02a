#include "core/fleet/steering.h"
#include "core/records/record_broadcast.h"
#include "core/requests/retry_budget.h"
#include "core/requests/retry_share.h"
#include "node/fleet/watcher_role.h"
#include "siskinstage/config.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <set>

namespace siskinstage {
namespace {

Member member(const std::string &Domain, int Number) {
  Member Result;
  Result.Domain = FailureDomain(Domain);
  Result.Endpoint = Address("10.0." + std::to_string(Domain.back() - 'a') +
                            "." + std::to_string(Number) + ":80");
  return Result;
}

std::vector<Member> members(int PerDomain) {
  std::vector<Member> Result;
  for (const char *Domain : {"a", "b", "c", "d"})
    for (int I = 1; I <= PerDomain; ++I)
      Result.push_back(member(Domain, I));
  return Result;
}

/// Number of the addresses in the failure domain with index \p Domain.
std::size_t countIn(const std::vector<Address> &Endpoints, int Domain) {
  const std::string Prefix = "10.0." + std::to_string(Domain) + ".";
  return static_cast<std::size_t>(std::count_if(
      Endpoints.begin(), Endpoints.end(), [&](const Address &Endpoint) {
        return Endpoint.str().rfind(Prefix, 0) == 0;
      }));
}

SteeringNode servingNode(const std::string &Domain, int Number) {
  const Member Identity = member(Domain, Number);
  SteeringNode Node;
  Node.Id = NodeId(Domain + std::to_string(Number));
  Node.Endpoint = Identity.Endpoint;
  Node.Domain = Identity.Domain;
  return Node;
}

TargetSpec targetIn(const std::string &Domain, int Number) {
  TargetSpec Spec;
  Spec.Id = TargetId("t" + Domain + std::to_string(Number));
  Spec.Domain = FailureDomain(Domain);
  return Spec;
}

/// Three nodes in each of three domains, and targets there and in a domain
/// without nodes.
struct ThreeDomains {
  std::vector<SteeringNode> Nodes;
  std::vector<TargetSpec> Targets;

  ThreeDomains() {
    for (const char *Domain : {"a", "b", "c"})
      for (int I = 0; I < 3; ++I)
        this->Nodes.push_back(servingNode(Domain, I));
    for (const char *Domain : {"a", "b", "c", "without nodes"})
      for (int I = 0; I < 20; ++I)
        this->Targets.push_back(targetIn(Domain, I));
  }
};

/// Guards against trial requests of several nodes to one target: seven entries
/// each lost a request to the same target.
TEST(TrialAssignments, OneNodeSendsTrialsToATarget) {
  const ThreeDomains Fleet;
  std::vector<int> NodeCounts(Fleet.Targets.size(), 0);
  for (const SteeringNode &Node : Fleet.Nodes) {
    const auto Assigned =
        trialAssignments(Fleet.Nodes, Node.Endpoint, Fleet.Targets);
    for (std::size_t I = 0; I < Fleet.Targets.size(); ++I) {
      // The targets from 60 on are in a domain without nodes.
      const bool InOtherDomain =
          I < 60 && Fleet.Targets[I].Domain != Node.Domain && Assigned[I];
      EXPECT_FALSE(InOtherDomain)
          << Node.Id.str() << " " << Fleet.Targets[I].Id.str();
      NodeCounts[I] += Assigned[I] ? 1 : 0;
    }
  }
  EXPECT_EQ(std::count(NodeCounts.begin(), NodeCounts.end(), 1), 80);
}

TEST(TrialAssignments, OneNodeOfAnotherDomainIsTheDeputy) {
  const ThreeDomains Fleet;
  std::vector<int> DeputyCounts(Fleet.Targets.size(), 0);
  for (const SteeringNode &Node : Fleet.Nodes) {
    const auto InCharge =
        trialAssignments(Fleet.Nodes, Node.Endpoint, Fleet.Targets);
    const auto Deputy =
        deputyAssignments(Fleet.Nodes, Node.Endpoint, Fleet.Targets);
    for (std::size_t I = 0; I < Fleet.Targets.size(); ++I) {
      EXPECT_FALSE(InCharge[I] && Deputy[I]);
      EXPECT_FALSE(Fleet.Targets[I].Domain == Node.Domain && Deputy[I]);
      DeputyCounts[I] += Deputy[I] ? 1 : 0;
    }
  }
  EXPECT_EQ(std::count(DeputyCounts.begin(), DeputyCounts.end(), 1), 80);
}

TEST(TrialAssignments, TheDeputyOfASingleDomainIsItsNextNode) {
  const std::vector<SteeringNode> Nodes = {servingNode("a", 1),
                                           servingNode("a", 2)};
  const std::vector<TargetSpec> Targets = {targetIn("a", 1)};
  for (const SteeringNode &Node : Nodes)
    EXPECT_NE(trialAssignments(Nodes, Node.Endpoint, Targets)[0],
              deputyAssignments(Nodes, Node.Endpoint, Targets)[0]);
  EXPECT_FALSE(deputyAssignments({Nodes[0]}, Nodes[0].Endpoint, Targets)[0]);
}

TEST(TrialAssignments, ANodeThatDoesNotServeSendsNone) {
  const auto Assigned = trialAssignments(
      {servingNode("a", 1)}, servingNode("a", 2).Endpoint, {targetIn("a", 1)});
  EXPECT_FALSE(Assigned[0]);
}

TEST(UpdateBroadcast, AWatcherSendsToItsDomainAndTwoNodesOfEachOther) {
  Random Rng(1);
  const auto Recipients = broadcastRecipients(
      members(8), member("a", 1), {RecordSource::Platform, {}}, Rng);
  EXPECT_EQ(countIn(Recipients, 0), 7U);
  for (int Domain = 1; Domain < 4; ++Domain)
    EXPECT_EQ(countIn(Recipients, Domain), config::CrossDomainUpdateFanout);
  EXPECT_EQ(std::set<Address>(Recipients.begin(), Recipients.end()).size(),
            Recipients.size());
}

TEST(UpdateBroadcast, UpdatesFromAnotherDomainAreSentWithinTheOwnOnly) {
  Random Rng(1);
  const auto Recipients = broadcastRecipients(
      members(8), member("a", 1), {RecordSource::OtherDomain, {}}, Rng);
  EXPECT_EQ(Recipients.size(), 7U);
  EXPECT_EQ(countIn(Recipients, 0), 7U);
}

TEST(UpdateBroadcast, UpdatesFromTheOwnDomainAreNotForwarded) {
  Random Rng(1);
  EXPECT_TRUE(broadcastRecipients(members(8), member("a", 1),
                                  {RecordSource::OwnDomain, {}}, Rng)
                  .empty());
}

TEST(UpdateBroadcast, ALargeDomainForwardsUpdatesInSteps) {
  Random Rng(1);
  const auto Recipients = broadcastRecipients(
      members(200), member("a", 1), {RecordSource::OwnDomain, {}}, Rng);
  EXPECT_EQ(Recipients.size(), config::UpdateFanout);
}

TEST(UpdateBroadcast, LargeMachinesForwardUpdatesInALargeDomain) {
  Random Rng(1);
  auto Live = members(75);
  for (Member &Node : Live)
    Node.Capacity = 100;
  for (int Domain = 0; Domain < 4; ++Domain)
    for (int I = 0; I < 3; ++I)
      Live[static_cast<std::size_t>(Domain * 75 + I)].Capacity = 500;
  // In other domains, a watcher sends to the large machines only.
  const auto Recipients =
      broadcastRecipients(Live, Live[0], {RecordSource::Platform, {}}, Rng);
  EXPECT_EQ(countIn(Recipients, 0), 74U);
  for (const Member &Node : Live) {
    const bool Small = Node.Capacity == 100;
    if (Small && Node.Domain != Live[0].Domain) {
      EXPECT_EQ(std::count(Recipients.begin(), Recipients.end(), Node.Endpoint),
                0);
    }
  }
  // A large machine sends to all nodes of its domain. A small one, which gets
  // the update from its own domain, does not have to.
  EXPECT_EQ(
      broadcastRecipients(Live, Live[75], {RecordSource::OtherDomain, {}}, Rng)
          .size(),
      74U);
  EXPECT_TRUE(broadcastRecipients(Live, Live[100],
                                  {RecordSource::OwnDomain, Live[75].Endpoint},
                                  Rng)
                  .empty());
}

TEST(UpdateBroadcast, UpdatesFromASmallMachineAreForwarded) {
  Random Rng(1);
  auto Live = members(75);
  for (Member &Node : Live)
    Node.Capacity = Node.Endpoint == Live[75].Endpoint ? 500 : 100;
  const RecordSender Small = {RecordSource::OwnDomain, Live[101].Endpoint};
  EXPECT_EQ(broadcastRecipients(Live, Live[100], Small, Rng).size(),
            config::UpdateFanout);
}

// The record went to one random node, and from there to one more.
TEST(UpdateBroadcast, ASmallMachineThatIsTheFirstOfItsDomainInformsLargeOnes) {
  Random Rng(1);
  auto Live = members(75);
  for (Member &Node : Live)
    Node.Capacity = Node.Endpoint == Live[75].Endpoint ? 500 : 100;
  const auto Recipients = broadcastRecipients(
      Live, Live[100], {RecordSource::OtherDomain, {}}, Rng);
  EXPECT_EQ(std::count(Recipients.begin(), Recipients.end(), Live[75].Endpoint),
            1);
  EXPECT_EQ(Recipients.size(), 1 + config::UpdateFanout);
}

std::vector<SteeringNode> steeringNodes(int PerDomain) {
  std::vector<SteeringNode> Nodes;
  for (const Member &Node : members(PerDomain))
    Nodes.push_back({NodeId(Node.Endpoint.str()), Node.Endpoint, Node.Domain});
  return Nodes;
}

TEST(DomainEntries, EachSmallDomainHasTheRequestedNumber) {
  EXPECT_EQ(domainEntries(steeringNodes(8), 1).size(), 4U);
  EXPECT_EQ(domainEntries(steeringNodes(8), 2).size(), 8U);
  EXPECT_EQ(domainEntries(steeringNodes(1), 3).size(), 4U);
}

TEST(DomainEntries, ALargeDomainHasMore) {
  EXPECT_EQ(domainEntries(steeringNodes(40), 1).size(),
            4 * 40 / config::NodesPerEntry);
}

TEST(DomainEntries, ALostEntryIsReplacedAndTheOthersStay) {
  auto Nodes = steeringNodes(8);
  const auto Before = domainEntries(Nodes, 1);
  std::erase_if(Nodes, [&](const SteeringNode &Node) {
    return Node.Endpoint == Before.front().Endpoint;
  });
  const auto After = domainEntries(Nodes, 1);
  ASSERT_EQ(After.size(), Before.size());
  EXPECT_NE(After.front().Endpoint, Before.front().Endpoint);
  for (std::size_t I = 1; I < Before.size(); ++I)
    EXPECT_EQ(After[I].Endpoint, Before[I].Endpoint);
}

/// Nodes of four failure domains, each with \p Large nodes of capacity 500 and
/// \p Small nodes of capacity 100.
std::vector<SteeringNode> mixedNodes(int Small, int Large) {
  auto Nodes = steeringNodes(Small + Large);
  std::map<FailureDomain, int> Counts;
  for (SteeringNode &Node : Nodes)
    Node.Capacity = Counts[Node.Domain]++ < Large ? 500 : 100;
  return Nodes;
}

TEST(DomainEntries, LargeMachinesAloneAreTheEntriesOfALargeDomain) {
  const auto Entries = domainEntries(mixedNodes(75, 3), 1);
  EXPECT_EQ(Entries.size(), 4 * 3U);
  for (const SteeringNode &Entry : Entries)
    EXPECT_EQ(Entry.Capacity, 500U);
}

TEST(DomainEntries, OneLargeMachineIsNotTheOnlyEntry) {
  EXPECT_EQ(domainEntries(mixedNodes(39, 1), 1).size(),
            4 * 40 / config::NodesPerEntry);
}

/// Guards against lost requests: while both large machines of a domain were
/// unreachable, one machine with a fifth of their capacity took all callers of
/// the domain.
TEST(DomainEntries, SmallMachinesReplaceLostLargeOnesByCapacity) {
  constexpr std::uint32_t LostCapacity = 2 * 500;
  for (const int Small : {39, 14, 8}) {
    auto Nodes = mixedNodes(Small, 2);
    const FailureDomain AffectedDomain = Nodes.front().Domain;
    std::erase_if(Nodes, [&](const SteeringNode &Node) {
      return Node.Domain == AffectedDomain && Node.Capacity == 500;
    });
    const auto AffectedCapacity =
        [&](const std::vector<SteeringNode> &Counted) {
          std::uint32_t Sum = 0;
          for (const SteeringNode &Node : Counted)
            Sum += Node.Domain == AffectedDomain ? Node.Capacity : 0;
          return Sum;
        };
    EXPECT_GE(AffectedCapacity(domainEntries(Nodes, 1)),
              std::min(LostCapacity, AffectedCapacity(Nodes)))
        << Small;
  }
}

TEST(DomainEntries, EqualMachinesAreChosenAsWithoutCapacity) {
  auto Nodes = steeringNodes(40);
  const auto Before = domainEntries(Nodes, 1);
  for (SteeringNode &Node : Nodes)
    Node.Capacity = 200;
  const auto After = domainEntries(Nodes, 1);
  ASSERT_EQ(After.size(), Before.size());
  for (std::size_t I = 0; I < After.size(); ++I)
    EXPECT_EQ(After[I].Endpoint, Before[I].Endpoint);
}

TEST(PlatformWatchers, AreSpreadEvenlyOverTheDomains) {
  for (const int PerDomain : {2, 8, 110}) {
    const auto Watchers = platformWatchers(steeringNodes(PerDomain), 8);
    ASSERT_EQ(Watchers.size(), 8U);
    std::map<FailureDomain, int> Counts;
    for (const SteeringNode &Node : Watchers)
      ++Counts[Node.Domain];
    for (const auto &[Domain, Count] : Counts)
      EXPECT_EQ(Count, 2);
  }
}

TEST(PlatformWatchers, DoNotGrowWithTheFleet) {
  EXPECT_EQ(watcherCount(32, 4), 8U);
  EXPECT_EQ(watcherCount(96, 4), 4U);
  EXPECT_EQ(watcherCount(442, 6), 6U);
  EXPECT_EQ(watcherCount(4300, 1), config::MinWatchers);
}

TEST(PlatformWatchers, AreLargeMachinesAndStayWhenAnotherWatcherIsLost) {
  auto Nodes = mixedNodes(20, 2);
  const auto Before = platformWatchers(Nodes, 3);
  for (const SteeringNode &Node : Before)
    EXPECT_EQ(Node.Capacity, 500U);
  std::erase_if(Nodes, [&](const SteeringNode &Node) {
    return Node.Endpoint == Before.front().Endpoint;
  });
  const auto After = platformWatchers(Nodes, 3);
  for (std::size_t I = 1; I < Before.size(); ++I)
    EXPECT_TRUE(std::any_of(After.begin(), After.end(), [&](const auto &Node) {
      return Node.Endpoint == Before[I].Endpoint;
    }));
}

TEST(PlatformWatchers, OneThatCannotReachThePlatformIsReplacedAndKeepsTrying) {
  auto Live = members(8);
  const auto Before = selectWatchers(Live);
  ASSERT_EQ(Before.size(), 8U);
  for (Member &Node : Live)
    Node.PlatformUnreachable = Node.Endpoint == Before.front().Endpoint;
  const auto After = selectWatchers(Live);
  ASSERT_EQ(After.size(), 9U);
  EXPECT_FALSE(After.front().PlatformUnreachable);
  EXPECT_TRUE(After.back().PlatformUnreachable);
  EXPECT_EQ(After.back().Endpoint, Before.front().Endpoint);
}

TEST(PlatformWatchers, AllThatAreCutOffAtOnceAreReplacedOnSuspicion) {
  auto Live = members(8);
  const auto Before = selectWatchers(Live);
  for (Member &Node : Live)
    for (const SteeringNode &Watcher : Before)
      if (Node.Endpoint == Watcher.Endpoint)
        Node.State = MemberState::Suspect;
  const auto After = selectWatchers(Live);
  ASSERT_EQ(After.size(), 8U);
  for (const SteeringNode &Watcher : After)
    EXPECT_TRUE(
        std::none_of(Before.begin(), Before.end(), [&](const auto &Previous) {
          return Previous.Endpoint == Watcher.Endpoint;
        }));
}

TEST(PlatformWatchers, NoRequestStormWhileThePlatformIsUnreachableForAll) {
  auto Live = members(110);
  for (Member &Node : Live)
    Node.PlatformUnreachable = true;
  EXPECT_EQ(selectWatchers(Live).size(), 4U);
}

FleetRecord fleetRecord() {
  FleetRecord Record;
  Record.RetryBudget = 0.2;
  Record.RetryBurst = 56;
  return Record;
}

TEST(RetryShare, AllSharesTogetherStayWithinTheBurst) {
  for (const std::size_t Live : {1U, 4U, 32U, 100U}) {
    const std::size_t Entries = std::min<std::size_t>(8, Live);
    double Sum = 0;
    for (std::size_t I = 0; I < Live; ++I) {
      const RetryShare Share =
          retryShare(fleetRecord(), {Live, Entries, I < Entries});
      // All nodes may restart within the window, each with its start budget.
      Sum += Share.Burst + Share.Start;
    }
    EXPECT_LE(Sum, 56.0001) << Live << " nodes";
    EXPECT_GE(Sum, 56 * 0.7) << Live << " nodes";
  }
}

TEST(RetryShare, ANodeThatHasJustStartedEarnsItsBurst) {
  const RetryShare Share = retryShare(fleetRecord(), {});
  RetryBudget Budget(0, 0);
  Budget.configure(Share.Fraction, Share.Burst);
  EXPECT_LT(Share.Start, Share.Burst);
  Budget.setRetries(0);
  EXPECT_FALSE(Budget.takeRetry());
  for (int I = 0; I < 6; ++I)
    Budget.addFirstAttempt();
  EXPECT_TRUE(Budget.takeRetry());
  EXPECT_FALSE(Budget.takeRetry());
}

TEST(RetryShare, WithoutAFleetWideBurstEachNodeHasItsOwn) {
  const RetryShare Share = retryShare(FleetRecord(), {32, 8, true});
  EXPECT_EQ(Share.Burst, config::RetryBudgetBurst);
  EXPECT_EQ(Share.Start, config::RetryBudgetBurst);
}

} // namespace
} // namespace siskinstage
