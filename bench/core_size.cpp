// Cost of the core's steps at the size to design for.
#include "core/key_table.h"
#include "core/pick.h"
#include "core/record_store.h"
#include "core/route_table.h"
#include "core/service_health.h"

#include <benchmark/benchmark.h>
#include <cstdio>
#include <fstream>
#include <string>
#include <unistd.h>

using namespace siskinstage;

namespace {

constexpr int RouteCount = 16'000;
constexpr int AccountCount = 280'000;
constexpr int ServiceCount = 2'200;
constexpr int TargetsPerService = 25;

std::string numbered(const char *Start, int Number) {
  return Start + std::to_string(Number);
}

RouteRecord route(int Number) {
  RouteRecord Route;
  Route.Name = RouteName(numbered("r", Number));
  Route.PathPrefix = numbered("/api/v1/part", Number);
  Route.Service = ServiceName(numbered("s", Number % ServiceCount));
  return Route;
}

ServiceRecord service(int Number) {
  ServiceRecord Service;
  Service.Name = ServiceName(numbered("s", Number));
  for (int I = 0; I < TargetsPerService; ++I)
    Service.Targets.push_back(
        {TargetId(numbered("t", Number * TargetsPerService + I)),
         Address("10.10.10.10:8080"), FailureDomain("domain-1")});
  return Service;
}

template <typename Body> Record recordOf(RecordKind Kind, const Body &Is) {
  Record New;
  New.Key = {Kind, Is.Name.str()};
  New.Rev = {1};
  New.Body = Is;
  New.Text = std::make_shared<const std::string>(std::string(150, 'x'));
  return New;
}

void fill(RecordStore &Store) {
  for (int I = 0; I < RouteCount; ++I)
    Store.adopt(recordOf(RecordKind::Route, route(I)));
  for (int I = 0; I < ServiceCount; ++I)
    Store.adopt(recordOf(RecordKind::Service, service(I)));
  for (int I = 0; I < AccountCount; ++I) {
    AccountRecord Account;
    Account.Name = AccountName(numbered("account", I));
    Account.RatePerSecond = 10;
    Store.adopt(recordOf(RecordKind::Account, Account));
  }
}

double residentMegabytes() {
  std::ifstream Stream("/proc/self/statm");
  long Total = 0;
  long Resident = 0;
  Stream >> Total >> Resident;
  return static_cast<double>(Resident) *
         static_cast<double>(sysconf(_SC_PAGESIZE)) / (1 << 20);
}

void allRecords(benchmark::State &State) {
  for (auto _ : State) {
    const double Before = residentMegabytes();
    RecordStore Store;
    fill(Store);
    State.counters["resident_MB"] = residentMegabytes() - Before;
  }
}
BENCHMARK(allRecords)->Iterations(1)->Unit(benchmark::kMillisecond);

/// Ten minutes of keyed requests at a node's peak rate, with short answers.
void allKeys(benchmark::State &State) {
  constexpr int KeyCount = 168'000;
  for (auto _ : State) {
    const double Before = residentMegabytes();
    KeyTable Table({KeyCount + 1, 1ULL << 30U, 4096, std::chrono::hours(1), 1},
                   Instant{});
    const KeyEpoch Epoch = *Table.epochForNewKeys(Instant{});
    for (int I = 0; I < KeyCount; ++I) {
      const std::string Key = std::string(52, 'a') + numbered(".sale-", I);
      benchmark::DoNotOptimize(Table.claim(Epoch, Key, {1}, Instant{}));
      benchmark::DoNotOptimize(Table.beginDispatch(Key));
      Table.endCompleted(
          Key, std::make_shared<const StoredResponse>(
                   StoredResponse{200, "OK", {}, std::string(200, 'x')}));
    }
    State.counters["resident_MB"] = residentMegabytes() - Before;
  }
}
BENCHMARK(allKeys)->Iterations(1)->Unit(benchmark::kMillisecond);

void adoptOneChange(benchmark::State &State) {
  RecordStore Store;
  fill(Store);
  std::uint64_t Revision = 1;
  Record New = recordOf(RecordKind::Route, route(7));
  for (auto _ : State) {
    New.Rev = {++Revision};
    benchmark::DoNotOptimize(Store.adopt(New));
  }
}
BENCHMARK(adoptOneChange);

void applyOneRoute(benchmark::State &State) {
  RouteTable Held;
  for (int I = 0; I < RouteCount; ++I)
    Held.add(route(I));
  for (auto _ : State) {
    // As the decision thread does: a copy for the snapshot, and a change.
    const RouteTable Published = Held;
    Held.remove(route(7));
    Held.add(route(7));
    benchmark::DoNotOptimize(Published.size());
  }
}
BENCHMARK(applyOneRoute);

void applyOneAccount(benchmark::State &State) {
  CowMap<AccountName, AccountRecord> Held;
  for (int I = 0; I < AccountCount; ++I)
    Held.set(AccountName(numbered("account", I)), AccountRecord{});
  for (auto _ : State) {
    const auto Published = Held;
    Held.set(AccountName("account7"), AccountRecord{});
    benchmark::DoNotOptimize(Published.size());
  }
}
BENCHMARK(applyOneAccount);

void lookUpRoute(benchmark::State &State) {
  RouteTable Table;
  for (int I = 0; I < RouteCount; ++I)
    Table.add(route(I));
  for (auto _ : State)
    benchmark::DoNotOptimize(
        Table.find("host", "/api/v1/part7777/lots/17/sheet", "GET"));
}
BENCHMARK(lookUpRoute);

void chooseTarget(benchmark::State &State) {
  Policy How = makePolicy(RoutingPolicy::TwoChoices);
  Random Dice(1);
  std::vector<Candidate> Candidates;
  for (std::uint32_t I = 0; I < TargetsPerService; ++I)
    Candidates.push_back({I, I % 3, I % 2, I % 4 == 0});
  for (auto _ : State)
    benchmark::DoNotOptimize(pick(How, Candidates, Dice));
}
BENCHMARK(chooseTarget);

void decideOneService(benchmark::State &State) {
  ServiceHealth Health(FailureDomain("domain-1"));
  const ServiceRecord Record = service(1);
  Health.configure(Record);
  Instant Now;
  std::size_t Turn = 0;
  for (auto _ : State) {
    Now += std::chrono::milliseconds(20);
    const TargetSpec &Spec = Record.Targets[Turn++ % TargetsPerService];
    Health.observe({Record.Name, Spec.Id, Evidence::Success,
                    std::chrono::milliseconds(5), Now, false});
    benchmark::DoNotOptimize(Health.decide(Now));
    benchmark::DoNotOptimize(Health.takeReports(Now));
  }
}
BENCHMARK(decideOneService);

} // namespace

BENCHMARK_MAIN();
