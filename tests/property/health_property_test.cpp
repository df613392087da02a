#include "core/targets/floor.h"
#include "core/targets/service_health.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace siskinstage {
namespace {

std::vector<EjectionRequest> arbitraryRequests() {
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
  const auto Requests = arbitraryRequests();
  const double Floor = *rc::gen::inRange(0, 101) / 100.0;
  const auto Admitted = admitAboveFloor(Requests, Floor);
  double TotalCapacity = 0;
  double CapacityNotLeaving = 0;
  double AdmittedCapacity = 0;
  for (std::size_t I = 0; I < Requests.size(); ++I) {
    TotalCapacity += Requests[I].Capacity.Value;
    CapacityNotLeaving += Requests[I].Leaving ? 0 : Requests[I].Capacity.Value;
    AdmittedCapacity += Admitted[I] ? Requests[I].Capacity.Value : 0;
    RC_ASSERT(!(Requests[I].Leaving && Admitted[I]));
    RC_ASSERT(Requests[I].Leaving || Requests[I].Eject || Admitted[I]);
  }
  RC_ASSERT(AdmittedCapacity >= Floor * TotalCapacity ||
            AdmittedCapacity == CapacityNotLeaving);
}

RC_GTEST_PROP(FloorProperty, KeepsThoseOfLowestSeverityAdmitted, ()) {
  const auto Requests = arbitraryRequests();
  const auto Admitted = admitAboveFloor(Requests, 0.5);
  for (std::size_t I = 0; I < Requests.size(); ++I)
    for (std::size_t J = 0; J < Requests.size(); ++J)
      if (Requests[I].Eject && Requests[J].Eject && !Requests[I].Leaving &&
          !Requests[J].Leaving && Admitted[I] && !Admitted[J])
        RC_ASSERT(Requests[I].Severity <= Requests[J].Severity);
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
    const auto Kind = *rc::gen::element(
        Evidence::Success, Evidence::Failure, Evidence::Timeout,
        Evidence::ConnectFailed, Evidence::Shed);
    Now += std::chrono::milliseconds(*rc::gen::inRange(0, 200));
    Health.observe({Record.Name, TargetId("t" + std::to_string(Target)), Kind,
                    std::chrono::milliseconds(300), Now, false});
    int Admitted = 0;
    for (const TargetVerdict &Verdict : Health.decide(Now))
      Admitted += Verdict.Admitted ? 1 : 0;
    RC_ASSERT(Admitted >= 5);
  }
}

void observe(ServiceHealth &Health, Evidence Kind, Instant At, int Count) {
  for (int I = 0; I < Count; ++I)
    Health.observe({ServiceName("s"), TargetId("t0"), Kind,
                    std::chrono::milliseconds(300), At, false});
}

TEST(ServiceHealth, EjectsAndReadmitsWithARamp) {
  ServiceHealth Health;
  Health.configure(service(10, DetectionPreference::Fast));
  Instant Now;
  observe(Health, Evidence::Failure, Now, 3);
  EXPECT_FALSE(Health.decide(Now)[0].Admitted);
  Now += std::chrono::seconds(3);
  const auto Verdicts = Health.decide(Now);
  EXPECT_TRUE(Verdicts[0].Admitted);
  EXPECT_LT(Verdicts[0].Share, 0.5);
  Now += std::chrono::seconds(6);
  EXPECT_EQ(Health.decide(Now)[0].Share, 1.0);
}

TEST(ServiceHealth, FlappingLengthensTheEjection) {
  ServiceHealth Health;
  Health.configure(service(10, DetectionPreference::Fast));
  Instant Now;
  Duration PreviousLength{};
  for (int Round = 0; Round < 4; ++Round) {
    observe(Health, Evidence::Failure, Now, 3);
    const Instant EjectedAt = Now;
    while (!Health.decide(Now)[0].Admitted)
      Now += std::chrono::milliseconds(100);
    EXPECT_GT(Now - EjectedAt, PreviousLength);
    PreviousLength = Now - EjectedAt;
  }
}

TEST(ServiceHealth, SuccessfulProbesAloneDoNotProveHealth) {
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

PeerReport reportOf(int Node, const char *Domain, ReportKind Kind,
                    std::uint32_t Streak) {
  return {Address("10.1.0." + std::to_string(Node) + ":80"),
          FailureDomain(Domain), Kind, Streak, Instant{}};
}

TEST(ServiceHealth, ReportsOfTheGroupAddUp) {
  ServiceHealth Health(FailureDomain("a"));
  Health.configure(service(10, DetectionPreference::Fast));
  observe(Health, Evidence::Failure, Instant{}, 1);
  Health.report(TargetId("t0"), reportOf(1, "b", ReportKind::Failing, 2));
  const auto Verdicts = Health.decide(Instant{});
  EXPECT_FALSE(Verdicts[0].Admitted);
  EXPECT_TRUE(Verdicts[0].ByGroup);
}

TEST(ServiceHealth, WithdrawnReportsDoNotCount) {
  ServiceHealth Health(FailureDomain("a"));
  Health.configure(service(10, DetectionPreference::Fast));
  Health.report(TargetId("t0"), reportOf(1, "b", ReportKind::Failing, 2));
  Health.report(TargetId("t0"), reportOf(1, "b", ReportKind::Failing, 0));
  Health.report(TargetId("t0"), reportOf(2, "c", ReportKind::Failing, 2));
  EXPECT_TRUE(Health.decide(Instant{})[0].Admitted);
}

TEST(ServiceHealth, FailedConnectionsOfOneDomainAreAPathFault) {
  ServiceHealth Health(FailureDomain("a"));
  Health.configure(service(10, DetectionPreference::Fast));
  for (int Node = 1; Node < 5; ++Node)
    Health.report(TargetId("t0"),
                  reportOf(Node, "b", ReportKind::Unreachable, 9));
  EXPECT_TRUE(Health.decide(Instant{})[0].Admitted);
  Health.report(TargetId("t0"), reportOf(9, "c", ReportKind::Unreachable, 9));
  EXPECT_FALSE(Health.decide(Instant{})[0].Admitted);
}

TEST(ServiceHealth, ReportsOfASingleNodeDoNotEjectAtOthers) {
  for (const auto Preference :
       {DetectionPreference::Fast, DetectionPreference::Careful}) {
    ServiceHealth Health(FailureDomain("a"));
    Health.configure(service(10, Preference));
    Health.report(TargetId("t0"), reportOf(1, "b", ReportKind::Failing, 99));
    EXPECT_TRUE(Health.decide(Instant{})[0].Admitted);
  }
}

// Guards against a node that keeps a target which all other nodes have ejected:
// one report was withdrawn before the next one arrived, so that they never
// added up at that node.
TEST(ServiceHealth, FollowsTheGroupsVerdict) {
  ServiceHealth Health(FailureDomain("a"));
  Health.configure(service(10, DetectionPreference::Fast));
  Health.report(TargetId("t0"), reportOf(1, "b", ReportKind::Ejected, 0));
  EXPECT_FALSE(Health.decide(Instant{})[0].Admitted);
  EXPECT_TRUE(Health.takeReports(Instant{}).empty());
}

// Guards against the ejection of a healthy target whose health endpoint reports
// failures: the probes of forty nodes were enough.
TEST(ServiceHealth, FailingProbesAloneDoNotEject) {
  ServiceHealth Health;
  Health.configure(service(10, DetectionPreference::Fast));
  for (int I = 0; I < 20; ++I)
    Health.observe({ServiceName("s"), TargetId("t0"), Evidence::Failure,
                    std::chrono::milliseconds(1), Instant{}, true});
  EXPECT_TRUE(Health.decide(Instant{})[0].Admitted);
  EXPECT_TRUE(Health.takeReports(Instant{}).empty());
}

TEST(ServiceHealth, AShortDeadlineIsNoEvidenceAboutTheTarget) {
  ServiceHealth Health;
  Health.configure(service(10, DetectionPreference::Fast));
  for (int I = 0; I < 20; ++I)
    Health.observe({ServiceName("s"), TargetId("t0"), Evidence::Timeout,
                    std::chrono::milliseconds(5), Instant{}, false});
  EXPECT_TRUE(Health.decide(Instant{})[0].Admitted);
}

TEST(ServiceHealth, ALeavingTargetGetsNoRequests) {
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
