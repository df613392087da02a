#include "core/record_broadcast.h"
#include "core/retry_budget.h"
#include "core/retry_share.h"
#include "core/steering.h"
#include "node/watcher_role.h"
#include "siskinstage/config.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <set>

namespace siskinstage {
namespace {

Member member(const std::string &Domain, int Number) {
  Member Each;
  Each.Domain = FailureDomain(Domain);
  Each.Endpoint = Address("10.0." + std::to_string(Domain.back() - 'a') + "." +
                          std::to_string(Number) + ":80");
  return Each;
}

std::vector<Member> members(int PerDomain) {
  std::vector<Member> All;
  for (const char *Domain : {"a", "b", "c", "d"})
    for (int I = 1; I <= PerDomain; ++I)
      All.push_back(member(Domain, I));
  return All;
}

std::size_t countIn(const std::vector<Address> &To, int Domain) {
  const std::string Start = "10.0." + std::to_string(Domain) + ".";
  return static_cast<std::size_t>(
      std::count_if(To.begin(), To.end(), [&](const Address &Each) {
        return Each.str().rfind(Start, 0) == 0;
      }));
}

SteeringNode servingNode(const std::string &Domain, int Number) {
  const Member Is = member(Domain, Number);
  SteeringNode Node;
  Node.Id = NodeId(Domain + std::to_string(Number));
  Node.Endpoint = Is.Endpoint;
  Node.Domain = Is.Domain;
  return Node;
}

TargetSpec targetIn(const std::string &Domain, int Number) {
  TargetSpec Spec;
  Spec.Id = TargetId("t" + Domain + std::to_string(Number));
  Spec.Domain = FailureDomain(Domain);
  return Spec;
}

/// Seven entries lost one request each to a target that each of them tried.
TEST(TargetsInCharge, OneNodeTriesATarget) {
  std::vector<SteeringNode> Serving;
  std::vector<TargetSpec> Targets;
  for (const char *Domain : {"a", "b", "c"})
    for (int I = 0; I < 3; ++I)
      Serving.push_back(servingNode(Domain, I));
  for (const char *Domain : {"a", "b", "c", "without nodes"})
    for (int I = 0; I < 20; ++I)
      Targets.push_back(targetIn(Domain, I));
  std::vector<int> Nodes(Targets.size(), 0);
  for (const SteeringNode &Each : Serving) {
    const auto Charges = trialAssignments(Serving, Each.Endpoint, Targets);
    for (std::size_t I = 0; I < Targets.size(); ++I) {
      const bool Elsewhere =
          I < 60 && Targets[I].Domain != Each.Domain && Charges[I];
      EXPECT_FALSE(Elsewhere) << Each.Id.str() << " " << Targets[I].Id.str();
      Nodes[I] += Charges[I] ? 1 : 0;
    }
  }
  EXPECT_EQ(std::count(Nodes.begin(), Nodes.end(), 1), 80);
}

TEST(TargetsInCharge, ANodeThatDoesNotServeTriesNone) {
  const auto Charges = trialAssignments(
      {servingNode("a", 1)}, servingNode("a", 2).Endpoint, {targetIn("a", 1)});
  EXPECT_FALSE(Charges[0]);
}

TEST(NewsSpread, AWatcherTellsItsDomainAndTwoOfEachOther) {
  Random Dice(1);
  const auto To = broadcastRecipients(members(8), member("a", 1),
                                      RecordSource::Platform, Dice);
  EXPECT_EQ(countIn(To, 0), 7U);
  for (int Domain = 1; Domain < 4; ++Domain)
    EXPECT_EQ(countIn(To, Domain), config::CrossDomainUpdateFanout);
  EXPECT_EQ(std::set<Address>(To.begin(), To.end()).size(), To.size());
}

TEST(NewsSpread, NewsFromAnotherDomainStaysInTheOwn) {
  Random Dice(1);
  const auto To = broadcastRecipients(members(8), member("a", 1),
                                      RecordSource::OtherDomain, Dice);
  EXPECT_EQ(To.size(), 7U);
  EXPECT_EQ(countIn(To, 0), 7U);
}

TEST(NewsSpread, NewsOfTheOwnDomainEndsThere) {
  Random Dice(1);
  EXPECT_TRUE(broadcastRecipients(members(8), member("a", 1),
                                  RecordSource::OwnDomain, Dice)
                  .empty());
}

TEST(NewsSpread, ALargeDomainPassesNewsOnInSteps) {
  Random Dice(1);
  const auto To = broadcastRecipients(members(200), member("a", 1),
                                      RecordSource::OwnDomain, Dice);
  EXPECT_EQ(To.size(), config::UpdateFanout);
}

TEST(NewsSpread, LargeMachinesCarryNewsOfALargeDomain) {
  Random Dice(1);
  auto Live = members(75);
  for (Member &Each : Live)
    Each.Capacity = 100;
  for (int Domain = 0; Domain < 4; ++Domain)
    for (int I = 0; I < 3; ++I)
      Live[static_cast<std::size_t>(Domain * 75 + I)].Capacity = 500;
  // From a watcher to large machines of other domains alone.
  const auto Far =
      broadcastRecipients(Live, Live[0], RecordSource::Platform, Dice);
  EXPECT_EQ(countIn(Far, 0), 74U);
  for (const Member &Each : Live) {
    const bool Small = Each.Capacity == 100;
    if (Small && Each.Domain != Live[0].Domain) {
      EXPECT_EQ(std::count(Far.begin(), Far.end(), Each.Endpoint), 0);
    }
  }
  // They tell all of their domain, whose other machines need not.
  EXPECT_EQ(broadcastRecipients(Live, Live[75], RecordSource::OtherDomain, Dice)
                .size(),
            74U);
  EXPECT_EQ(broadcastRecipients(Live, Live[100], RecordSource::OwnDomain, Dice)
                .size(),
            1U);
}

std::vector<SteeringNode> steered(int PerDomain) {
  std::vector<SteeringNode> Nodes;
  for (const Member &Each : members(PerDomain))
    Nodes.push_back({NodeId(Each.Endpoint.str()), Each.Endpoint, Each.Domain});
  return Nodes;
}

TEST(DomainEntries, EachSmallDomainHasAsManyAsAsked) {
  EXPECT_EQ(domainEntries(steered(8), 1).size(), 4U);
  EXPECT_EQ(domainEntries(steered(8), 2).size(), 8U);
  EXPECT_EQ(domainEntries(steered(1), 3).size(), 4U);
}

TEST(DomainEntries, ALargeDomainHasMore) {
  EXPECT_EQ(domainEntries(steered(40), 1).size(),
            4 * 40 / config::NodesPerEntry);
}

TEST(DomainEntries, ALostEntryMovesNoOther) {
  auto Nodes = steered(8);
  const auto Before = domainEntries(Nodes, 1);
  std::erase_if(Nodes, [&](const SteeringNode &Each) {
    return Each.Endpoint == Before.front().Endpoint;
  });
  const auto After = domainEntries(Nodes, 1);
  ASSERT_EQ(After.size(), Before.size());
  EXPECT_NE(After.front().Endpoint, Before.front().Endpoint);
  for (std::size_t I = 1; I < Before.size(); ++I)
    EXPECT_EQ(After[I].Endpoint, Before[I].Endpoint);
}

/// Domains of \p Small machines, each with \p Large ones of five times as much.
std::vector<SteeringNode> mixed(int Small, int Large) {
  auto Nodes = steered(Small + Large);
  std::map<FailureDomain, int> Seen;
  for (SteeringNode &Each : Nodes)
    Each.Capacity = Seen[Each.Domain]++ < Large ? 500 : 100;
  return Nodes;
}

TEST(DomainEntries, LargeMachinesAloneAreTheEntriesOfALargeDomain) {
  const auto Entries = domainEntries(mixed(75, 3), 1);
  EXPECT_EQ(Entries.size(), 4 * 3U);
  for (const SteeringNode &Each : Entries)
    EXPECT_EQ(Each.Capacity, 500U);
}

TEST(DomainEntries, OneLargeMachineIsNotLeftAlone) {
  EXPECT_EQ(domainEntries(mixed(39, 1), 1).size(),
            4 * 40 / config::NodesPerEntry);
}

/// LOST on grown nidal: with both large machines of a domain out of sight, a
/// single machine of a fifth of their capacity took all of its callers.
TEST(DomainEntries, SmallMachinesStandInForLostLargeOnesByCapacity) {
  constexpr std::uint32_t Carried = 2 * 500;
  for (const int Small : {39, 14, 8}) {
    auto Nodes = mixed(Small, 2);
    const FailureDomain Struck = Nodes.front().Domain;
    std::erase_if(Nodes, [&](const SteeringNode &Each) {
      return Each.Domain == Struck && Each.Capacity == 500;
    });
    const auto CapacityOf = [&](const std::vector<SteeringNode> &All) {
      std::uint32_t Sum = 0;
      for (const SteeringNode &Each : All)
        Sum += Each.Domain == Struck ? Each.Capacity : 0;
      return Sum;
    };
    EXPECT_GE(CapacityOf(domainEntries(Nodes, 1)),
              std::min(Carried, CapacityOf(Nodes)))
        << Small;
  }
}

TEST(DomainEntries, EqualMachinesAreChosenAsWithoutCapacity) {
  auto Nodes = steered(40);
  const auto Before = domainEntries(Nodes, 1);
  for (SteeringNode &Each : Nodes)
    Each.Capacity = 200;
  const auto After = domainEntries(Nodes, 1);
  ASSERT_EQ(After.size(), Before.size());
  for (std::size_t I = 0; I < After.size(); ++I)
    EXPECT_EQ(After[I].Endpoint, Before[I].Endpoint);
}

TEST(PlatformWatchers, AreOfAllDomainsAlike) {
  for (const int PerDomain : {2, 8, 110}) {
    const auto Chosen = platformWatchers(steered(PerDomain), 8);
    ASSERT_EQ(Chosen.size(), 8U);
    std::map<FailureDomain, int> Domains;
    for (const SteeringNode &Each : Chosen)
      ++Domains[Each.Domain];
    for (const auto &[Domain, Count] : Domains)
      EXPECT_EQ(Count, 2);
  }
}

TEST(PlatformWatchers, DoNotGrowWithTheFleet) {
  EXPECT_EQ(watcherCount(32, 4), 8U);
  EXPECT_EQ(watcherCount(96, 4), 4U);
  EXPECT_EQ(watcherCount(442, 6), 6U);
  EXPECT_EQ(watcherCount(4300, 1), config::MinWatchers);
}

TEST(PlatformWatchers, AreLargeMachinesAndStayWhenAnotherIsLost) {
  auto Nodes = mixed(20, 2);
  const auto Before = platformWatchers(Nodes, 3);
  for (const SteeringNode &Each : Before)
    EXPECT_EQ(Each.Capacity, 500U);
  std::erase_if(Nodes, [&](const SteeringNode &Each) {
    return Each.Endpoint == Before.front().Endpoint;
  });
  const auto After = platformWatchers(Nodes, 3);
  for (std::size_t I = 1; I < Before.size(); ++I)
    EXPECT_TRUE(std::any_of(After.begin(), After.end(), [&](const auto &Each) {
      return Each.Endpoint == Before[I].Endpoint;
    }));
}

TEST(PlatformWatchers, OneThatIsRefusedHandsOverAndGoesOnTrying) {
  auto Live = members(8);
  const auto Before = selectWatchers(Live);
  ASSERT_EQ(Before.size(), 8U);
  for (Member &Each : Live)
    Each.PlatformUnreachable = Each.Endpoint == Before.front().Endpoint;
  const auto After = selectWatchers(Live);
  ASSERT_EQ(After.size(), 9U);
  EXPECT_FALSE(After.front().PlatformUnreachable);
  EXPECT_TRUE(After.back().PlatformUnreachable);
  EXPECT_EQ(After.back().Endpoint, Before.front().Endpoint);
}

TEST(PlatformWatchers, AllThatAreCutAtOnceAreReplacedOnSuspicion) {
  auto Live = members(8);
  const auto Before = selectWatchers(Live);
  for (Member &Each : Live)
    for (const SteeringNode &Cut : Before)
      if (Each.Endpoint == Cut.Endpoint)
        Each.State = MemberState::Suspect;
  const auto After = selectWatchers(Live);
  ASSERT_EQ(After.size(), 8U);
  for (const SteeringNode &Each : After)
    EXPECT_TRUE(
        std::none_of(Before.begin(), Before.end(), [&](const auto &Cut) {
          return Cut.Endpoint == Each.Endpoint;
        }));
}

TEST(PlatformWatchers, NoStormWhileThePlatformIsLostToAll) {
  auto Live = members(110);
  for (Member &Each : Live)
    Each.PlatformUnreachable = true;
  EXPECT_EQ(selectWatchers(Live).size(), 4U);
}

FleetRecord fleet() {
  FleetRecord Fleet;
  Fleet.RetryBudget = 0.2;
  Fleet.RetryBurst = 56;
  return Fleet;
}

TEST(RetryShare, AllSharesTogetherStayWithinTheBurst) {
  for (const std::size_t Live : {1U, 4U, 32U, 100U}) {
    const std::size_t Entries = std::min<std::size_t>(8, Live);
    double Sum = 0;
    for (std::size_t I = 0; I < Live; ++I) {
      const RetryShare Share =
          retryShare(fleet(), {Live, Entries, I < Entries});
      // All nodes may restart within the window.
      Sum += Share.Burst + Share.Start;
    }
    EXPECT_LE(Sum, 56.0001) << Live << " nodes";
    EXPECT_GE(Sum, 56 * 0.7) << Live << " nodes";
  }
}

TEST(RetryShare, ANodeThatHasJustStartedEarnsItsBurst) {
  const RetryShare Share = retryShare(fleet(), {});
  RetryBudget Budget(0, 0);
  Budget.configure(Share.Fraction, Share.Burst);
  EXPECT_LT(Share.Start, Share.Burst);
  Budget.restart(0);
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
