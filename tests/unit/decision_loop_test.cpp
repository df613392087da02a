#include "core/fleet/key_ring.h"
#include "core/records/record_parser.h"
#include "net/boot_time.h"
#include "node/decision_loop.h"
#include "node/node_context.h"
#include "node/records/record_import.h"
#include "node/snapshot.h"

#include <gtest/gtest.h>
#include <thread>

namespace siskinstage {
namespace {

constexpr int Targets = 2000;
/// Half a millisecond a change: a node with a tenth of a core follows 200
/// changes a second.
constexpr Millis TimeLimit{Targets / 2};
constexpr Millis Patience{60'000};
const ServiceName Service("reads");

Settings settings() {
  Settings Values;
  Values.Keys = *KeyRing::parse("1:000102030405060708090a0b0c0d0e0f");
  return Values;
}

class ManyTargets : public testing::Test {
protected:
  ManyTargets() {
    this->Context.Timers = *TimerQueue::create();
    this->post(R"({"schema": 2, "kind": "bundle", "name": "operator",
                   "revision": 1, "routes": [],
                   "services": [{"name": "reads"}]})");
    this->Loop = std::thread([this] { DecisionLoop(this->Context).run(); });
  }
  ~ManyTargets() override {
    this->Context.Stop.stop();
    this->Loop.join();
  }

  void post(const std::string &Text) {
    RecordBatch Batch;
    importRecordText(this->Context, Text, Address("10.0.0.1:80"), Batch);
    ASSERT_EQ(Batch.Records.size(), 1U);
    postUpdate(this->Context, Batch);
  }
  void postTargets(std::uint64_t FirstRevision, bool Leaving) {
    for (int I = 0; I < Targets; ++I)
      this->post(R"({"schema": 2, "kind": "target", "service": "reads",
                     "name": "t)" +
                 std::to_string(I) + R"(", "revision": )" +
                 std::to_string(FirstRevision + static_cast<unsigned>(I)) +
                 R"(, "domain": "a", "slots": 3, "address": "10.1.0.1:)" +
                 std::to_string(1000 + I) + R"(", "leaving": )" +
                 (Leaving ? "true" : "false") + "}");
  }
  /// Waits until \p Count targets are in the snapshot with \p Leaving.
  bool await(int Count, bool Leaving) {
    const Instant Limit = bootNow() + Patience;
    while (bootNow() < Limit) {
      const auto View = this->Context.Snapshots.get()->service(Service);
      if (View && std::count_if(View->Targets.begin(), View->Targets.end(),
                                [&](const TargetView &Target) {
                                  return Target.Spec.Leaving == Leaving;
                                }) == Count)
        return true;
      std::this_thread::sleep_for(Millis(1));
    }
    return false;
  }

  Settings Values = settings();
  NodeContext Context{this->Values, AddressParts{}, Incarnation{1},
                      std::make_shared<const Snapshot>()};
  std::thread Loop;
};

/// Processor time of the calling process.
Duration processorTime() {
  timespec Used{};
  ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Used);
  return std::chrono::seconds(Used.tv_sec) +
         std::chrono::nanoseconds(Used.tv_nsec);
}

// The view of the service was built anew for each of the records.
TEST_F(ManyTargets, RecordsThatComeTogetherAreAssembledOnce) {
  this->postTargets(10, false);
  ASSERT_TRUE(this->await(Targets, false));
  const Duration Before = processorTime();
  this->postTargets(10 + Targets, true);
  ASSERT_TRUE(this->await(Targets, true));
  const auto Used =
      std::chrono::duration_cast<Millis>(processorTime() - Before);
  EXPECT_LT(Used, TimeLimit);
}

} // namespace
} // namespace siskinstage
