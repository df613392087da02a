#include "core/attempt.h"
#include "core/gray_estimate.h"
#include "core/gray_penalty.h"
#include "core/hang_probability.h"
#include "core/pick.h"
#include "core/pick_backend.h"
#include "core/placement.h"
#include "core/service_health.h"
#include "core/target_health.h"
#include "siskinstage/config.h"

#include <gtest/gtest.h>
#include <map>

namespace siskinstage {
namespace {

Instant at(int Ms) { return Instant(Millis(Ms)); }

Candidate candidate(std::uint32_t Index, std::uint32_t InFlight,
                    bool SameDomain) {
  Candidate Each;
  Each.Index = Index;
  Each.InFlight = InFlight;
  Each.Capacity = 3;
  Each.SameDomain = SameDomain;
  return Each;
}

std::uint32_t pickDomainFirst(const std::vector<Candidate> &Candidates) {
  Policy How = makePolicy(RoutingPolicy::DomainFirst);
  Random Dice(1);
  return *pick(How, Candidates, Dice);
}

TEST(PickDomainFirst, PrefersAnIdleTargetOfItsDomain) {
  EXPECT_EQ(pickDomainFirst({candidate(0, 0, false), candidate(1, 0, true)}),
            1U);
}

TEST(PickDomainFirst, BorrowsAnIdleTargetFromABusyDomain) {
  EXPECT_EQ(pickDomainFirst({candidate(0, 0, false), candidate(1, 1, true)}),
            1U);
  EXPECT_EQ(pickDomainFirst({candidate(0, 0, false), candidate(1, 2, true)}),
            0U);
}

TEST(PickDomainFirst, SpreadsOverEqualTargets) {
  Policy How = makePolicy(RoutingPolicy::DomainFirst);
  Random Dice(7);
  std::map<std::uint32_t, int> Chosen;
  constexpr int Draws = 3000;
  for (int I = 0; I < Draws; ++I)
    ++Chosen[*pick(
        How,
        {candidate(0, 0, true), candidate(1, 0, true), candidate(2, 0, true)},
        Dice)];
  for (const auto &[Index, Count] : Chosen)
    EXPECT_NEAR(Count, Draws / 3, Draws / 20);
}

TEST(PickDomainFirst, PassesAGrayTargetOverForABusyOne) {
  std::vector<Candidate> Candidates = {candidate(0, 0, true),
                                       candidate(1, 2, false)};
  Candidates[0].Penalty = grayPenalty(0.9, 0, Repeatability::AtMostOnce);
  EXPECT_EQ(pickDomainFirst(Candidates), 1U);
}

TEST(PickDomainFirst, ALargeBodyLeavesItsDomainForAFreeSlotOnly) {
  std::vector<Candidate> Candidates = {candidate(0, 0, false),
                                       candidate(1, 2, true)};
  Candidates[0].Penalty = config::LargeBodyPenalty;
  EXPECT_EQ(pickDomainFirst(Candidates), 1U);
  Candidates[1].InFlight = 4; // All three slots are taken.
  EXPECT_EQ(pickDomainFirst(Candidates), 0U);
}

TEST(PickDomainFirst, ADueTrialGoesBeforeAnIdleTarget) {
  std::vector<Candidate> Candidates = {
      candidate(0, 0, true), candidate(1, 0, false), candidate(2, 0, false)};
  for (Candidate &Each : Candidates)
    Each.TrialDue = Each.Index > 0;
  Candidates[1].Penalty = 0.8;
  Candidates[2].Penalty = 0.6;
  EXPECT_EQ(pickDomainFirst(Candidates), 2U);
}

/// A target that its node in charge has sent nothing for two seconds.
std::optional<Candidate> idleTarget(const RequestTraits &Request,
                                    double GrayChance, double Share = 1,
                                    std::uint64_t Seed = 1) {
  const std::vector<Instant> None;
  PlacementTarget Known;
  Known.Capacity = 3;
  Known.SameDomain = true;
  Known.Share = Share;
  Known.GrayProbability = GrayChance;
  Known.Started = &None;
  Known.SendsTrials = true;
  Known.Idle = Millis(2'000);
  Random Dice(Seed);
  return candidateOf(Known, Request, {Millis(200), Millis(500)}, Instant(),
                     Dice);
}

TEST(CandidateOf, TriesAnIdleTargetWithAFirstTryThatHasTime) {
  RequestTraits Request;
  Request.TimeLeft = Millis(500);
  EXPECT_TRUE(idleTarget(Request, 0.3)->TrialDue);
  EXPECT_FALSE(idleTarget(Request, 0.6)->TrialDue);
  Request.FirstAttempt = false;
  EXPECT_FALSE(idleTarget(Request, 0.3)->TrialDue);
  Request.FirstAttempt = true;
  Request.TimeLeft = Millis(499);
  EXPECT_FALSE(idleTarget(Request, 0.3)->TrialDue);
}

TEST(CandidateOf, ADueTrialIsNotSparedOnProbation) {
  int Due = 0;
  int NotDue = 0;
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    Due += idleTarget({}, 0.3, 0.1, Seed) ? 1 : 0;
    NotDue += idleTarget({}, 0.6, 0.1, Seed) ? 1 : 0;
  }
  EXPECT_EQ(Due, 20);
  EXPECT_LT(NotDue, 10);
}

TEST(GrayPenalty, ATrialIsDueOnceAnIdleTargetIsMoreProbablySound) {
  EXPECT_TRUE(isTrialDue(0.3, config::TrialIdleTime));
  EXPECT_FALSE(isTrialDue(0.3, config::TrialIdleTime - Millis(1)));
  EXPECT_FALSE(isTrialDue(0.6, Millis(60'000)));
}

/// The belief after \p Seen, one piece of evidence every 100 ms from 0 on.
GrayEstimate after(const std::vector<Evidence> &Seen) {
  GrayEstimate Belief;
  int Ms = 0;
  for (const Evidence Each : Seen)
    Belief.update(Each, at(Ms += 100));
  return Belief;
}

TEST(GrayPenalty, LetsOneRequestTryATargetAtATime) {
  EXPECT_LT(grayPenalty(0.6, 0, Repeatability::Repeatable),
            grayPenalty(0.6, 1, Repeatability::Repeatable));
  EXPECT_EQ(grayPenalty(0.6, 1, Repeatability::Repeatable),
            config::SuspectedPenalty);
  EXPECT_LT(grayPenalty(0.05, 2, Repeatability::AtMostOnce),
            config::CrossDomainPenalty);
}

TEST(GrayPenalty, LetsRepeatableWorkTryFirst) {
  EXPECT_GT(grayPenalty(0.6, 0, Repeatability::AtMostOnce),
            grayPenalty(0.6, 0, Repeatability::Repeatable));
}

TEST(GrayEstimate, GrowsWithEachFailureAndFades) {
  const auto One = after({Evidence::Success, Evidence::Failure});
  const auto Two =
      after({Evidence::Success, Evidence::Failure, Evidence::Failure});
  EXPECT_GT(Two.probability(at(300)), One.probability(at(200)));
  EXPECT_GT(Two.probability(at(300)), 0.9);
  EXPECT_LT(Two.probability(at(20'000)), 0.3);
  EXPECT_GT(Two.probability(at(2'300)), 0.7);
}

TEST(GrayEstimate, AFailureAfterAFreshSuccessTellsLessThanOneAfterSilence) {
  const auto Fresh = after({Evidence::Success, Evidence::Success,
                            Evidence::Success, Evidence::Failure});
  const auto Silent = after({Evidence::Failure});
  EXPECT_LT(Fresh.probability(at(400)), 0.75);
  EXPECT_GT(Silent.probability(at(100)), 0.9);
}

TEST(GrayEstimate, OneSuccessDoesNotClearATargetThatFailsMostOfItsWork) {
  const auto Failing =
      after({Evidence::Failure, Evidence::Failure, Evidence::Success});
  EXPECT_GT(Failing.probability(at(300)), config::GrayThreshold);
  auto Back = Failing;
  for (int I = 0; I < 4; ++I)
    Back.update(Evidence::Success, at(400 + I));
  EXPECT_LT(Back.probability(at(500)), config::GrayThreshold);
}

TEST(GrayEstimate, SilenceWeighsAtLeastAsMuchAsAnAnsweredFailure) {
  const auto Silent = after({Evidence::Overdue, Evidence::Timeout});
  const auto Failed = after({Evidence::Failure, Evidence::Shed});
  EXPECT_GE(Silent.probability(at(200)), Failed.probability(at(200)));
}

/// A caller with 50 ms left made a sound target count as gray at all nodes.
TEST(GrayEstimate, ACallerWithLittleTimeLeftTellsNothingOfTheTarget) {
  const Evidence Short =
      failureEvidence(AttemptFailure::Kind::NoResponse, true, false);
  GrayEstimate Belief;
  TargetHealth Health;
  for (int I = 1; I <= 10; ++I) {
    Belief.update(Short, at(100 * I));
    Health.observe({ServiceName("s"), TargetId("t"), Short, Millis(50),
                    at(100 * I), false},
                   DetectionLimits::forPreference(DetectionPreference::Fast),
                   {Millis(200), Millis(500)});
    EXPECT_FALSE(Belief.takeBroadcast(Short, at(100 * I)));
  }
  EXPECT_DOUBLE_EQ(Belief.probability(at(1'000)), config::GrayPriorProbability);
  EXPECT_EQ(Health.state(), TargetHealth::State::Healthy);
  EXPECT_EQ(Health.latency(), Duration::zero());
  EXPECT_EQ(failureEvidence(AttemptFailure::Kind::NoResponse, true, true),
            Evidence::Timeout);
}

TEST(GrayEstimate, ALateAnswerTakesItsSilenceBack) {
  const auto Silent = after({Evidence::Success, Evidence::Overdue});
  const auto Late =
      after({Evidence::Success, Evidence::Overdue, Evidence::LateSuccess});
  const auto Usual =
      after({Evidence::Success, Evidence::Shed, Evidence::Success});
  EXPECT_GT(Silent.probability(at(200)), Usual.probability(at(300)));
  EXPECT_NEAR(Late.probability(at(300)), Usual.probability(at(300)), 0.05);
}

TEST(GrayEstimate, IsToldWhenItTurnsProbableAndWhenItEnds) {
  GrayEstimate Here;
  GrayEstimate There;
  Here.update(Evidence::Success, at(0));
  EXPECT_FALSE(Here.takeBroadcast(Evidence::Success, at(0)));
  Here.update(Evidence::Overdue, at(100));
  Here.update(Evidence::Failure, at(200));
  const auto Gray = Here.takeBroadcast(Evidence::Failure, at(200));
  ASSERT_TRUE(Gray);
  There.adopt(*Gray, at(210));
  EXPECT_NEAR(There.probability(at(210)), Here.probability(at(210)), 0.02);
  // The trial's successes are told by whoever sees them.
  std::optional<double> End;
  for (int I = 0;
       I < 8 && There.probability(at(300 + I)) >= config::GrayThreshold; ++I) {
    There.update(Evidence::Success, at(300 + I));
    End = There.takeBroadcast(Evidence::Success, at(300 + I));
  }
  ASSERT_TRUE(End);
  EXPECT_LT(*End, config::GrayThreshold);
  EXPECT_FALSE(There.takeBroadcast(Evidence::Success, at(400)));
}

TEST(GrayEstimate, APathFaultStaysWithTheNodeThatHasIt) {
  GrayEstimate Belief;
  Belief.update(Evidence::ConnectFailed, at(0));
  EXPECT_GT(Belief.probability(at(0)), 0.9);
  EXPECT_FALSE(Belief.takeBroadcast(Evidence::ConnectFailed, at(0)));
}

TEST(GrayEstimate, StaysWithinItsBoundsUnderAnyEvidence) {
  GrayEstimate Belief;
  for (int I = 0; I < 1000; ++I)
    Belief.update(Evidence::Failure, at(I));
  EXPECT_LT(Belief.probability(at(1000)), 1);
  for (int I = 0; I < 1000; ++I)
    Belief.update(Evidence::LateSuccess, at(1000 + I));
  EXPECT_GT(Belief.probability(at(2000)), 0);
}

const UsualLatency Usual = {Millis(200), Millis(500)};

TEST(Suspicion, FollowsTheUsualLatency) {
  EXPECT_DOUBLE_EQ(unfinishedProbability(Millis(0), Usual), 1.0);
  EXPECT_NEAR(unfinishedProbability(Millis(200), Usual), 0.5, 1e-9);
  EXPECT_NEAR(unfinishedProbability(Millis(500), Usual), 0.1, 1e-9);
  EXPECT_EQ(unfinishedProbability(Millis(900), {}), 1.0);
  EXPECT_NEAR((overdueAge(Usual, 0.1) - Millis(500)).count(), 0, 10);
  EXPECT_GT(overdueAge(Usual, 0.05), Millis(500));
  EXPECT_EQ(overdueAge({}, 0.05), Duration::zero());
}

TEST(Suspicion, TwoYoungRequestsTellAsMuchAsAnOldOne) {
  const Instant Now = at(10'000);
  const double None = hangProbability(0.05, {}, Usual, Now);
  const double Fresh = hangProbability(0.05, {Now}, Usual, Now);
  const double Young = hangProbability(0.05, {Now - Millis(350)}, Usual, Now);
  const double TwoYoung =
      hangProbability(0.05, {Now - Millis(350), Now - Millis(350)}, Usual, Now);
  const double Old = hangProbability(0.05, {Now - Millis(500)}, Usual, Now);
  EXPECT_DOUBLE_EQ(None, 0.05);
  EXPECT_DOUBLE_EQ(Fresh, None);
  EXPECT_GT(Young, None);
  EXPECT_GT(TwoYoung, Young);
  EXPECT_GT(TwoYoung, 0.8 * Old);
  EXPECT_GT(Old, 0.25);
}

TEST(Suspicion, WorkLeavesForASoundTargetWithRoomOnly) {
  Candidate Each = candidate(0, 2, true);
  EXPECT_TRUE(isHealthyWithFreeSlot(Each));
  Each.ReportedInFlight = 3;
  EXPECT_FALSE(isHealthyWithFreeSlot(Each));
  Each.ReportedInFlight = 0;
  Each.Penalty = config::SuspectedPenalty;
  EXPECT_FALSE(isHealthyWithFreeSlot(Each));
}

TEST(PickBackend, KeepsTheShares) {
  const std::vector<RouteBackend> Backends = {{ServiceName("a"), 90},
                                              {ServiceName("b"), 10}};
  Random Dice(3);
  int Second = 0;
  constexpr int Draws = 10'000;
  for (int I = 0; I < Draws; ++I)
    Second += pickBackend(Backends, Dice) == 1 ? 1 : 0;
  EXPECT_NEAR(Second, Draws / 10, Draws / 50);
}

TEST(PickBackend, TakesNoneOfWeightZero) {
  const std::vector<RouteBackend> Backends = {{ServiceName("a"), 0},
                                              {ServiceName("b"), 1}};
  Random Dice(3);
  for (int I = 0; I < 100; ++I)
    EXPECT_EQ(pickBackend(Backends, Dice), 1U);
}

} // namespace
} // namespace siskinstage
