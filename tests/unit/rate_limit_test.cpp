#include "core/targets/rate_limit.h"
#include "siskinstage/config.h"

#include <gtest/gtest.h>
#include <vector>

namespace siskinstage {
namespace {

using namespace std::chrono_literals;

const Instant Start{1000s};
constexpr RateShare OnePerSecond = {1, 1.5, 0, 4};
/// Two nodes that are not in charge, and one that is.
const RateLimitSource Own = {Address("10.0.0.1:80")};
const RateLimitSource Other = {Address("10.0.0.2:80")};
const RateLimitSource InCharge = {Address("10.0.0.3:80"), true};

/// A limit of 1/s that the target has stated at Start.
RateLimit limitedAtStart() {
  RateLimit Limit;
  static_cast<void>(Limit.hear(1.0, Start - 100ms, Own, Start));
  return Limit;
}

TEST(RateLimit, WithoutOneRequestsAreNotCounted) {
  RateLimit Limit;
  for (int I = 0; I < 100; ++I) {
    EXPECT_TRUE(Limit.allows(Start));
    Limit.take(Start);
  }
  EXPECT_EQ(Limit.loadShare(Start), 1.0);
}

TEST(RateLimit, ANodeSendsItsShare) {
  RateLimit Limit = limitedAtStart();
  EXPECT_FALSE(Limit.allows(Start + 2s)); // No share is set yet.
  Limit.setShare(OnePerSecond, Start);
  int Sent = 0;
  for (Instant Now = Start; Now < Start + 10s; Now += 10ms) {
    static_cast<void>(Limit.hear(1.0, Now, Own, Now));
    if (Limit.allows(Now)) {
      Limit.take(Now);
      ++Sent;
    }
  }
  EXPECT_GE(Sent, 9);
  EXPECT_LE(Sent, 10);
}

/// Guards against a node that spends what its predecessor has spent already.
TEST(RateLimit, ANodeThatGetsAShareStartsWithNothing) {
  RateLimit Limit = limitedAtStart();
  Limit.setShare({}, Start);
  Limit.setShare(OnePerSecond, Start + 1s);
  EXPECT_FALSE(Limit.allows(Start + 1s));
  EXPECT_TRUE(Limit.allows(Start + 2s));
}

TEST(RateLimit, AChangedLimitNeedsANewShare) {
  RateLimit Limit = limitedAtStart();
  Limit.setShare(OnePerSecond, Start);
  EXPECT_FALSE(Limit.needsShare());
  EXPECT_TRUE(Limit.hear(0.5, Start + 1s, Own, Start + 2s));
  EXPECT_TRUE(Limit.needsShare());
}

TEST(RateLimit, OthersAreToldOfChangesAndThenOnceAPeriod) {
  RateLimit Limit;
  EXPECT_TRUE(Limit.hear(1.0, Start, Own, Start + 1ms));
  EXPECT_FALSE(Limit.hear(1.0, Start, Own, Start + 2ms));
  EXPECT_TRUE(
      Limit.hear(1.0, Start, Own, Start + 3ms + config::RateLimitRepeatPeriod));
  // Another node has repeated it in this period.
  const Instant Later = Start + 10s;
  EXPECT_FALSE(Limit.adopt(Limit.state(), Other, Later));
  EXPECT_FALSE(Limit.hear(1.0, Later, Own, Later + 10ms));
}

TEST(RateLimit, EndsWithSuccessiveResponsesThatStateNone) {
  RateLimit Limit = limitedAtStart();
  EXPECT_FALSE(Limit.hear(std::nullopt, Start + 1s, Own, Start + 2s));
  EXPECT_TRUE(Limit.limited());
  EXPECT_TRUE(Limit.hear(std::nullopt, Start + 1s, Own, Start + 2s));
  EXPECT_FALSE(Limit.limited());
  EXPECT_TRUE(Limit.allows(Start + 2s));
  EXPECT_LT(Limit.loadShare(Start + 2s), 0.2);
  EXPECT_EQ(Limit.loadShare(Start + 2s + config::ProbationRamp), 1.0);
}

/// Guards against a limit that ends with responses from before it.
TEST(RateLimit, AResponseToAnEarlierRequestDoesNotEndIt) {
  RateLimit Limit = limitedAtStart();
  for (int I = 0; I < 5; ++I)
    EXPECT_FALSE(Limit.hear(std::nullopt, Start - 1s, Own, Start + 1s));
  EXPECT_TRUE(Limit.limited());
}

TEST(RateLimit, EndsIfNothingIsHeardForItsRetention) {
  RateLimit Limit = limitedAtStart();
  Limit.expire(Start + config::RateLimitRetention - 1ms);
  EXPECT_TRUE(Limit.limited());
  Limit.expire(Start + config::RateLimitRetention + 1ms);
  EXPECT_FALSE(Limit.limited());
  // It holds again if another node repeats it.
  EXPECT_TRUE(Limit.adopt({1, 1.0}, Other, Start + 60s));
  EXPECT_TRUE(Limit.limited());
}

/// Guards against a datagram that arrives late and undoes a later change.
TEST(RateLimit, AMessageWithALowerVersionChangesNothing) {
  RateLimit Limit;
  EXPECT_TRUE(Limit.adopt({3, 2.0}, Other, Start));
  EXPECT_FALSE(Limit.adopt({2, 0}, Other, Start + 1s));
  EXPECT_FALSE(Limit.adopt({1, 5.0}, Other, Start + 1s));
  EXPECT_EQ(Limit.state(), (RateLimitState{3, 2.0}));
  EXPECT_TRUE(Limit.adopt({4, 0}, Other, Start + 2s));
  EXPECT_FALSE(Limit.limited());
}

TEST(RateLimit, OfTwoChangesAtOnceTheStricterHolds) {
  RateLimit Limit;
  EXPECT_TRUE(Limit.adopt({3, 2.0}, Other, Start));
  EXPECT_TRUE(Limit.adopt({3, 1.0}, Other, Start));
  EXPECT_FALSE(Limit.adopt({3, 2.0}, Other, Start));
  EXPECT_FALSE(Limit.adopt({3, 0}, Other, Start));
  EXPECT_EQ(Limit.state(), (RateLimitState{3, 1.0}));
}

/// Guards against a limit that nobody uses, as the nodes in charge have no
/// requests, and against nodes that all try the target at once.
TEST(RateLimit, NodesTakeTurnsWhileNothingIsHeard) {
  std::vector<RateLimit> Nodes(4, limitedAtStart());
  for (std::uint32_t I = 0; I < 4; ++I)
    Nodes[I].setShare({0, 0, I, 4}, Start);
  std::vector<int> Sent(4, 0);
  for (Instant Now = Start; Now < Start + 3s; Now += 10ms)
    for (RateLimit &Node : Nodes)
      EXPECT_FALSE(Node.allows(Now));
  for (Instant Now = Start + 3010ms; Now < Start + 11s; Now += 10ms)
    for (std::uint32_t I = 0; I < 4; ++I)
      if (Nodes[I].allows(Now)) {
        Nodes[I].take(Now);
        ++Sent[I];
      }
  EXPECT_EQ(Sent, std::vector<int>(4, 2));
}

TEST(RateLimit, ANodeThatGetsAResponseWhileOthersAreSilentTakesOver) {
  RateLimit Limit = limitedAtStart();
  Limit.setShare(OnePerSecond, Start);
  EXPECT_FALSE(Limit.adopt(Limit.state(), Other, Start + 1s));
  EXPECT_TRUE(Limit.holder().empty());
  EXPECT_FALSE(Limit.adopt(Limit.state(), Other, Start + 10s));
  EXPECT_EQ(Limit.holder(), Other.Node);
  EXPECT_TRUE(Limit.needsShare());
  // Of two at the same time, the lower address holds it at all nodes.
  EXPECT_FALSE(Limit.adopt(Limit.state(), Own, Start + 10100ms));
  EXPECT_EQ(Limit.holder(), Own.Node);
  EXPECT_FALSE(Limit.adopt(Limit.state(), Other, Start + 10200ms));
  EXPECT_EQ(Limit.holder(), Own.Node);
  // A node in charge that uses the limit again has it back.
  EXPECT_FALSE(Limit.adopt(Limit.state(), InCharge, Start + 11s));
  EXPECT_TRUE(Limit.holder().empty());
}

ServingGroup groupOf(int PerDomain, const std::string &Self) {
  ServingGroup Group;
  for (const char *Domain : {"a", "b", "c", "d"})
    for (int I = 0; I < PerDomain; ++I) {
      const std::string Id = Domain + std::to_string(I);
      Group.Nodes.push_back(
          {NodeId(Id), Address(Id + ":1"), FailureDomain(Domain)});
    }
  Group.Self = Address(Self + ":1");
  return Group;
}

/// Sums of all nodes' shares.
struct ShareSums {
  double Rate = 0;
  double Burst = 0;
  int Nodes = 0;
};

ShareSums sumShares(double Limit, int PerDomain, const TargetSpec &Target) {
  ShareSums Sums;
  const ServingGroup Group = groupOf(PerDomain, "");
  for (const SteeringNode &Node : Group.Nodes) {
    const RateShare Share =
        rateShare(Limit, groupOf(PerDomain, Node.Id.str()), Target);
    Sums.Rate += Share.PerSecond;
    Sums.Burst += Share.Burst;
    Sums.Nodes += Share.PerSecond > 0 ? 1 : 0;
    if (Share.PerSecond > 0 && !Target.Domain.empty()) {
      EXPECT_EQ(Node.Domain, Target.Domain);
    }
  }
  return Sums;
}

TEST(RateShare, TheSharesAddUpToTheLimit) {
  for (const int PerDomain : {1, 2, 6, 40})
    for (const double Limit : {0.1, 1.0, 3.0, 20.0, 500.0})
      for (const char *Domain : {"a", "d", ""}) {
        TargetSpec Target;
        Target.Id = TargetId("t");
        Target.Domain = FailureDomain(Domain);
        const ShareSums Sums = sumShares(Limit, PerDomain, Target);
        EXPECT_NEAR(Sums.Rate, Limit, 1e-9);
        EXPECT_LE(Sums.Burst,
                  Sums.Nodes + Limit * config::RateBurstSeconds + 1e-9);
        EXPECT_LE(Sums.Nodes, Limit / 2 + 1);
      }
}

TEST(RateShare, ANodeThatHasTakenOverHasItsPartAlone) {
  TargetSpec Target;
  Target.Id = TargetId("t");
  Target.Domain = FailureDomain("a");
  const Address Holder("c1:1");
  double Sum = 0;
  for (const SteeringNode &Node : groupOf(3, "").Nodes) {
    const RateShare Share =
        rateShare(4, groupOf(3, Node.Id.str()), Target, Holder);
    Sum += Share.PerSecond;
    EXPECT_EQ(Share.PerSecond > 0, Node.Endpoint == Holder);
  }
  EXPECT_EQ(Sum, 4.0 * config::RateHolderFraction);
  // One that has gone, or is in charge anyway, changes nothing.
  EXPECT_EQ(rateShare(4, groupOf(3, "a0"), Target, Address("z:1")),
            rateShare(4, groupOf(3, "a0"), Target));
}

TEST(RateShare, ANodeThatDoesNotServeHasNone) {
  TargetSpec Target;
  Target.Domain = FailureDomain("a");
  EXPECT_EQ(rateShare(100, groupOf(2, "other"), Target), RateShare{});
}

} // namespace
} // namespace siskinstage
