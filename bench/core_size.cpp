// CPU time and memory of the core's operations at the design size.
#include "core/records/record_parser.h"
#include "core/records/record_store.h"
#include "core/requests/account_directory.h"
#include "core/requests/admission.h"
#include "core/requests/key_digest.h"
#include "core/requests/key_table.h"
#include "core/requests/route_table.h"
#include "core/targets/pick.h"
#include "core/targets/service_health.h"

#include <benchmark/benchmark.h>
#include <cstdio>
#include <fstream>
#include <malloc.h>
#include <map>
#include <string>
#include <sys/resource.h>
#include <unistd.h>

using namespace siskinstage;

namespace {

constexpr int RouteCount = 16'000;
constexpr int AccountCount = 280'000;
constexpr int ServiceCount = 2'200;
constexpr int TargetsPerService = 25;

std::string numbered(const char *Prefix, int Number) {
  return Prefix + std::to_string(Number);
}

RouteRecord makeRoute(int Number) {
  RouteRecord Route;
  Route.Name = RouteName(numbered("r", Number));
  Route.PathPrefix = numbered("/api/v1/part", Number);
  Route.Service = ServiceName(numbered("s", Number % ServiceCount));
  return Route;
}

ServiceRecord makeService(int Number) {
  ServiceRecord Service;
  Service.Name = ServiceName(numbered("s", Number));
  for (int I = 0; I < TargetsPerService; ++I)
    Service.Targets.push_back(
        {TargetId(numbered("t", Number * TargetsPerService + I)),
         Address("10.10.10.10:8080"), FailureDomain("domain-1")});
  return Service;
}

template <typename BodyType>
Record makeRecord(RecordKind Kind, const BodyType &Value) {
  Record Result;
  Result.Key = {Kind, Value.Name.str()};
  Result.Rev = {1};
  Result.Body = Value;
  Result.Text = std::make_shared<const std::string>(std::string(150, 'x'));
  return Result;
}

void fill(RecordStore &Store) {
  for (int I = 0; I < RouteCount; ++I)
    Store.adopt(makeRecord(RecordKind::Route, makeRoute(I)));
  for (int I = 0; I < ServiceCount; ++I)
    Store.adopt(makeRecord(RecordKind::Service, makeService(I)));
  for (int I = 0; I < AccountCount; ++I) {
    AccountRecord Account;
    Account.Name = AccountName(numbered("account", I));
    Account.RatePerSecond = 10;
    Store.adopt(makeRecord(RecordKind::Account, Account));
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

/// Bytes that the program has allocated. Unlike the resident memory, they do
/// not depend on what earlier benchmarks have freed.
double heapMegabytes() {
  const struct mallinfo2 Info = mallinfo2();
  return static_cast<double>(Info.uordblks + Info.hblkhd) / (1 << 20);
}

/// The highest resident memory since the start.
double peakMegabytes() {
  constexpr double KilobytesPerMegabyte = 1024;
  struct rusage Usage = {};
  getrusage(RUSAGE_SELF, &Usage);
  return static_cast<double>(Usage.ru_maxrss) / KilobytesPerMegabyte;
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

/// Ten minutes of requests with idempotency keys at the peak rate of a node,
/// with short responses.
void allKeys(benchmark::State &State) {
  constexpr int KeyCount = 168'000;
  for (auto _ : State) {
    const double Before = heapMegabytes();
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
    State.counters["heap_MB"] = heapMegabytes() - Before;
  }
}
BENCHMARK(allKeys)->Iterations(1)->Unit(benchmark::kMillisecond);

void adoptOneChange(benchmark::State &State) {
  RecordStore Store;
  fill(Store);
  std::uint64_t Revision = 1;
  Record Update = makeRecord(RecordKind::Route, makeRoute(7));
  for (auto _ : State) {
    Update.Rev = {++Revision};
    benchmark::DoNotOptimize(Store.adopt(Update));
  }
}
BENCHMARK(adoptOneChange);

void applyOneRoute(benchmark::State &State) {
  RouteTable Current;
  for (int I = 0; I < RouteCount; ++I)
    Current.add(makeRoute(I));
  for (auto _ : State) {
    // Like the decision thread: a copy for the snapshot, then a change.
    const RouteTable Published = Current;
    Current.remove(makeRoute(7));
    Current.add(makeRoute(7));
    benchmark::DoNotOptimize(Published.size());
  }
}
BENCHMARK(applyOneRoute);

void applyOneAccount(benchmark::State &State) {
  CowMap<AccountName, AccountRecord> Current;
  for (int I = 0; I < AccountCount; ++I)
    Current.set(AccountName(numbered("account", I)), AccountRecord{});
  for (auto _ : State) {
    const auto Published = Current;
    Current.set(AccountName("account7"), AccountRecord{});
    benchmark::DoNotOptimize(Published.size());
  }
}
BENCHMARK(applyOneAccount);

std::vector<AccountRecord> keyedAccounts(int Count) {
  std::vector<AccountRecord> Accounts(static_cast<std::size_t>(Count));
  for (int I = 0; I < Count; ++I) {
    AccountRecord &Account = Accounts[static_cast<std::size_t>(I)];
    Account.Name = AccountName(numbered("account", I));
    Account.RatePerSecond = 10;
    Account.KeyDigests = {digestOfKey(numbered("first-key-", I)),
                          digestOfKey(numbered("second-key-", I))};
  }
  return Accounts;
}

/// The directory of client accounts, with the accounts themselves.
void allApiKeys(benchmark::State &State) {
  for (auto _ : State) {
    const double Before = heapMegabytes();
    const auto Directory =
        AccountDirectory::create(keyedAccounts(AccountCount));
    benchmark::DoNotOptimize((*Directory)->find("first-key-7"));
    State.counters["heap_MB"] = heapMegabytes() - Before;
  }
}
BENCHMARK(allApiKeys)->Iterations(1)->Unit(benchmark::kMillisecond);

/// The text of a bundle with all accounts, from JSON to the directory.
void readAllAccounts(benchmark::State &State) {
  std::string Text =
      R"({"schema":2,"kind":"bundle","name":"b","revision":1,"routes":[],)"
      R"("services":[],"accounts":[)";
  for (const AccountRecord &Account : keyedAccounts(AccountCount))
    Text += (Text.back() == '[' ? R"({"name":")" : R"(,{"name":")") +
            Account.Name.str() + R"(","rate_per_s":10,"key_digests":[")" +
            digestText(Account.KeyDigests[0]) + "\",\"" +
            digestText(Account.KeyDigests[1]) + "\"]}";
  Text += "]}";
  for (auto _ : State) {
    const double Before = residentMegabytes();
    const RecordReading Reading =
        readRecord(parseRecords(Text, "bench")->front());
    if (!Reading.Accepted)
      State.SkipWithError(Reading.Faults.front().text().c_str());
    State.counters["peak_MB"] = peakMegabytes() - Before;
  }
}
BENCHMARK(readAllAccounts)->Iterations(1)->Unit(benchmark::kMillisecond);

/// A directory of \p Count accounts, kept for the repetitions of a benchmark.
const AccountDirectory &directoryOf(int Count) {
  static std::map<int, std::shared_ptr<const AccountDirectory>> Made;
  auto &Directory = Made[Count];
  if (!Directory)
    Directory = *AccountDirectory::create(keyedAccounts(Count));
  return *Directory;
}

/// The admission check of a request, by the number of accounts.
void checkApiKey(benchmark::State &State) {
  const auto Count = static_cast<int>(State.range(0));
  const AccountDirectory &Directory = directoryOf(Count);
  const RouteRecord Route = makeRoute(1);
  std::vector<std::string> Keys;
  for (int I = 0; I < 1024; ++I)
    Keys.push_back(numbered("second-key-", I * 7919 % Count));
  std::size_t Next = 0;
  for (auto _ : State)
    benchmark::DoNotOptimize(
        checkAccount(&Directory, Route, Keys[Next++ % Keys.size()]));
}
BENCHMARK(checkApiKey)->Arg(79)->Arg(AccountCount);

void lookUpRoute(benchmark::State &State) {
  RouteTable Table;
  for (int I = 0; I < RouteCount; ++I)
    Table.add(makeRoute(I));
  for (auto _ : State)
    benchmark::DoNotOptimize(
        Table.find("host", "/api/v1/part7777/lots/17/sheet", "GET"));
}
BENCHMARK(lookUpRoute);

void chooseTarget(benchmark::State &State) {
  Policy Selected = makePolicy(RoutingPolicy::TwoChoices);
  Random Rng(1);
  std::vector<Candidate> Candidates;
  for (std::uint32_t I = 0; I < TargetsPerService; ++I)
    Candidates.push_back({I, I % 3, I % 2, I % 4 == 0});
  for (auto _ : State)
    benchmark::DoNotOptimize(pick(Selected, Candidates, Rng));
}
BENCHMARK(chooseTarget);

void decideOneService(benchmark::State &State) {
  ServiceHealth Health(FailureDomain("domain-1"));
  const ServiceRecord Record = makeService(1);
  Health.configure(Record);
  Instant Now;
  std::size_t Next = 0;
  for (auto _ : State) {
    Now += std::chrono::milliseconds(20);
    const TargetSpec &Spec = Record.Targets[Next++ % TargetsPerService];
    Health.observe({Record.Name, Spec.Id, Evidence::Success,
                    std::chrono::milliseconds(5), Now, false});
    benchmark::DoNotOptimize(Health.decide(Now));
    benchmark::DoNotOptimize(Health.takeReports(Now));
  }
}
BENCHMARK(decideOneService);

} // namespace

BENCHMARK_MAIN();
