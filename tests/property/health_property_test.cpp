#include "core/floor.h"
#include "core/service_health.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace siskinstage {
namespace {

std::vector<EjectionRequest> anyWishes() {
  return *rc::gen::container<std::vector<EjectionRequest>>(rc::gen::build(
      rc::gen::construct<EjectionRequest>(),
      rc::gen::set(
          &EjectionRequest::Capacity,
          rc::gen::map(rc::gen::inRange<std::uint32_t>(1, 9),
                       [](std::uint32_t Count) { return Slots{Count}; })),
      rc::gen::set(&EjectionRequest::Leaving),
      rc::gen::set(&EjectionRequest::Eject),
      rc::gen::set(&EjectionRequest::Severity,
                   rc::gen::map(rc::gen::inRange(0, 100),
                                [](int Value) { return Value / 10.0; }))));
}

RC_GTEST_PROP(FloorProperty, EjectionsNeverGoBelowTheFloor, ()) {
  const auto Wishes = anyWishes();
  const double Floor = *rc::gen::inRange(0, 101) / 100.0;
  const auto Admitted = admitAboveFloor(Wishes, Floor);
  double Total = 0;
  double Staying = 0;
  double In = 0;
  for (std::size_t I = 0; I < Wishes.size(); ++I) {
    Total += Wishes[I].Capacity.Value;
    Staying += Wishes[I].Leaving ? 0 : Wishes[I].Capacity.Value;
    In += Admitted[I] ? Wishes[I].Capacity.Value : 0;
    RC_ASSERT(!(Wishes[I].Leaving && Admitted[I]));
    RC_ASSERT(Wishes[I].Leaving || Wishes[I].Eject || Admitted[I]);
  }
  RC_ASSERT(In >= Floor * Total || In == Staying);
}

RC_GTEST_PROP(FloorProperty, KeepsTheLeastSickIn, ()) {
  const auto Wishes = anyWishes();
  const auto Admitted = admitAboveFloor(Wishes, 0.5);
  for (std::size_t I = 0; I < Wishes.size(); ++I)
    for (std::size_t J = 0; J < Wishes.size(); ++J)
      if (Wishes[I].Eject && Wishes[J].Eject && !Wishes[I].Leaving &&
          !Wishes[J].Leaving && Admitted[I] && !Admitted[J])
        RC_ASSERT(Wishes[I].Severity <= Wishes[J].Severity);
}

ServiceRecord service(int Count, DetectionPreference Preference) {
  ServiceRecord Record;
  Record.Name = ServiceName("s");
  Record.Detection = Preference;
  for (int I = 0; I < Count; ++I)
    Record.Targets.push_back(
        {TargetId("t" + std::to_string(I)), Address("10.0.0.1:80"), {}});
  return Record;
}

RC_GTEST_PROP(ServiceHealthProperty, AdmittedCapacityKeepsTheFloor, ()) {
  ServiceHealth Health;
  const ServiceRecord Record = service(10, DetectionPreference::Fast);
  Health.configure(Record);
  Instant Now;
  const int Steps = *rc::gen::inRange(1, 400);
  for (int I = 0; I < Steps; ++I) {
    const int Target = *rc::gen::inRange(0, 10);
    const auto What = *rc::gen::element(
        Evidence::Success, Evidence::Failure, Evidence::Timeout,
        Evidence::ConnectFailed, Evidence::Shed);
    Now += std::chrono::milliseconds(*rc::gen::inRange(0, 200));
    Health.observe({Record.Name, TargetId("t" + std::to_string(Target)), What,
                    std::chrono::milliseconds(300), Now, false});
    int Admitted = 0;
    for (const TargetVerdict &Verdict : Health.decide(Now))
      Admitted += Verdict.Admitted ? 1 : 0;
    RC_ASSERT(Admitted >= 5);
  }
}

void observe(ServiceHealth &Health, Evidence What, Instant At, int Count) {
  for (int I = 0; I < Count; ++I)
    Health.observe({ServiceName("s"), TargetId("t0"), What,
                    std::chrono::milliseconds(300), At, false});
}

TEST(ServiceHealth, EjectsAndBringsBackWithARamp) {
  ServiceHealth Health;
  Health.configure(service(10, DetectionPreference::Fast));
  Instant Now;
  observe(Health, Evidence::Failure, Now, 3);
  EXPECT_FALSE(Health.decide(Now)[0].Admitted);
  Now += std::chrono::seconds(3);
  const auto Back = Health.decide(Now);
  EXPECT_TRUE(Back[0].Admitted);
  EXPECT_LT(Back[0].Share, 0.5);
  Now += std::chrono::seconds(6);
  EXPECT_EQ(Health.decide(Now)[0].Share, 1.0);
}

TEST(ServiceHealth, FlappingLengthensTheEjection) {
  ServiceHealth Health;
  Health.configure(service(10, DetectionPreference::Fast));
  Instant Now;
  Duration Before{};
  for (int Round = 0; Round < 4; ++Round) {
    observe(Health, Evidence::Failure, Now, 3);
    const Instant Out = Now;
    while (!Health.decide(Now)[0].Admitted)
      Now += std::chrono::milliseconds(100);
    EXPECT_GT(Now - Out, Before);
    Before = Now - Out;
  }
}

TEST(ServiceHealth, ProbesAloneProveNoHealth) {
  ServiceHealth Health;
  Health.configure(service(10, DetectionPreference::Fast));
  Instant Now;
  for (int I = 0; I < 3; ++I) {
    observe(Health, Evidence::Failure, Now, 1);
    Health.observe({ServiceName("s"), TargetId("t0"), Evidence::Success,
                    std::chrono::milliseconds(1), Now, true});
  }
  EXPECT_FALSE(Health.decide(Now)[0].Admitted);
}

PeerReport reportOf(int Node, const char *Domain, ReportKind What,
                    std::uint32_t Streak) {
  return {Address("10.1.0." + std::to_string(Node) + ":80"),
          FailureDomain(Domain), What, Streak, Instant{}};
}

TEST(ServiceHealth, TheGroupsReportsAddUp) {
  ServiceHealth Health(FailureDomain("a"));
  Health.configure(service(10, DetectionPreference::Fast));
  observe(Health, Evidence::Failure, Instant{}, 1);
  Health.report(TargetId("t0"), reportOf(1, "b", ReportKind::Failing, 2));
  const auto Verdicts = Health.decide(Instant{});
  EXPECT_FALSE(Verdicts[0].Admitted);
  EXPECT_TRUE(Verdicts[0].ByGroup);
}

TEST(ServiceHealth, ReportsTakenBackDoNotCount) {
  ServiceHealth Health(FailureDomain("a"));
  Health.configure(service(10, DetectionPreference::Fast));
  Health.report(TargetId("t0"), reportOf(1, "b", ReportKind::Failing, 2));
  Health.report(TargetId("t0"), reportOf(1, "b", ReportKind::Failing, 0));
  Health.report(TargetId("t0"), reportOf(2, "c", ReportKind::Failing, 2));
  EXPECT_TRUE(Health.decide(Instant{})[0].Admitted);
}

TEST(ServiceHealth, OneDomainThatReachesNothingIsAPathFault) {
  ServiceHealth Health(FailureDomain("a"));
  Health.configure(service(10, DetectionPreference::Fast));
  for (int Node = 1; Node < 5; ++Node)
    Health.report(TargetId("t0"),
                  reportOf(Node, "b", ReportKind::Unreachable, 9));
  EXPECT_TRUE(Health.decide(Instant{})[0].Admitted);
  Health.report(TargetId("t0"), reportOf(9, "c", ReportKind::Unreachable, 9));
  EXPECT_FALSE(Health.decide(Instant{})[0].Admitted);
}

TEST(ServiceHealth, OneNodesLoneReportsEjectNowhereElse) {
  for (const auto Preference :
       {DetectionPreference::Fast, DetectionPreference::Careful}) {
    ServiceHealth Health(FailureDomain("a"));
    Health.configure(service(10, Preference));
    Health.report(TargetId("t0"), reportOf(1, "b", ReportKind::Failing, 99));
    EXPECT_TRUE(Health.decide(Instant{})[0].Admitted);
  }
}

// One node kept a target that all others had ejected, since a report was taken
// back before the next one came.
TEST(ServiceHealth, FollowsTheGroupsVerdict) {
  ServiceHealth Health(FailureDomain("a"));
  Health.configure(service(10, DetectionPreference::Fast));
  Health.report(TargetId("t0"), reportOf(1, "b", ReportKind::Ejected, 0));
  EXPECT_FALSE(Health.decide(Instant{})[0].Admitted);
  EXPECT_TRUE(Health.takeReports(Instant{}).empty());
}

// Forty nodes that probe a lying health endpoint ejected a healthy target.
TEST(ServiceHealth, AFailingHealthEndpointAloneProvesNothing) {
  ServiceHealth Health;
  Health.configure(service(10, DetectionPreference::Fast));
  for (int I = 0; I < 20; ++I)
    Health.observe({ServiceName("s"), TargetId("t0"), Evidence::Failure,
                    std::chrono::milliseconds(1), Instant{}, true});
  EXPECT_TRUE(Health.decide(Instant{})[0].Admitted);
  EXPECT_TRUE(Health.takeReports(Instant{}).empty());
}

TEST(ServiceHealth, AHurriedCallerDoesNotBlameTheTarget) {
  ServiceHealth Health;
  Health.configure(service(10, DetectionPreference::Fast));
  for (int I = 0; I < 20; ++I)
    Health.observe({ServiceName("s"), TargetId("t0"), Evidence::Timeout,
                    std::chrono::milliseconds(5), Instant{}, false});
  EXPECT_TRUE(Health.decide(Instant{})[0].Admitted);
}

TEST(ServiceHealth, ALeavingTargetGetsNothing) {
  ServiceHealth Health;
  Health.configure(service(10, DetectionPreference::Careful));
  observe(Health, Evidence::Leaving, Instant{}, 1);
  EXPECT_FALSE(Health.decide(Instant{})[0].Admitted);
  Health.setListedLeaving({Address("10.0.0.1:80")});
  for (const TargetVerdict &Verdict : Health.decide(Instant{}))
    EXPECT_FALSE(Verdict.Admitted);
}

} // namespace
} // namespace siskinstage
