#include "net/boot_time.h"
#include "node/service_gate.h"
#include "node/snapshot_holder.h"
#include "node/target_gauge.h"

#include <future>
#include <gtest/gtest.h>
#include <thread>

namespace siskinstage {
namespace {

using Entered = tl::expected<TargetLease, ServiceGate::Refusal>;

/// A service of targets with one slot each.
struct Service {
  explicit Service(const std::vector<std::string> &Targets,
                   Duration Typical = {}) {
    auto View = std::make_shared<ServiceView>();
    View->Record.Name = ServiceName("s");
    View->Record.SlotsPerTarget = Slots{1};
    View->Gate = this->Gate;
    View->MedianLatency = Typical;
    for (const std::string &Id : Targets) {
      TargetView Each;
      Each.Spec.Id = TargetId(Id);
      Each.Verdict.Admitted = true;
      Each.Gauge = std::make_shared<TargetGauge>();
      View->Targets.push_back(Each);
    }
    auto First = std::make_shared<Snapshot>();
    First->ServiceViews.set(View->Record.Name, View);
    this->Snapshots.set(First);
  }

  Entered enter(Millis Time, const std::set<TargetId> &Tried = {}) {
    PlacementOrder Order;
    Order.Tried = Tried;
    Order.Deadline = bootNow() + Time;
    return this->Gate->enter(this->Snapshots, Order);
  }
  /// Enters on a thread of its own, and returns once it waits.
  std::future<Entered> queue(Millis Time,
                             const std::set<TargetId> &Tried = {}) {
    const std::uint32_t Before = this->Gate->stats().Waiting;
    auto Result = std::async(std::launch::async,
                             [=, this] { return this->enter(Time, Tried); });
    while (this->Gate->stats().Waiting == Before)
      std::this_thread::yield();
    return Result;
  }

  std::shared_ptr<ServiceGate> Gate =
      std::make_shared<ServiceGate>(ServiceName("s"), 1);
  SnapshotHolder Snapshots{std::make_shared<const Snapshot>()};
};

bool isReady(std::future<Entered> &Each, Millis Wait = Millis(1500)) {
  return Each.wait_for(Wait) == std::future_status::ready;
}

TEST(ServiceGate, AFreeSlotGoesToWhoHasWaitedLongest) {
  Service Only({"a"});
  auto Holder = Only.enter(Millis(1000));
  ASSERT_TRUE(Holder);
  auto First = Only.queue(Millis(1900));
  auto Second = Only.queue(Millis(1900));
  Holder->release();
  ASSERT_TRUE(isReady(First));
  EXPECT_FALSE(isReady(Second, Millis(100)));
  First.get()->release();
  ASSERT_TRUE(isReady(Second));
  EXPECT_TRUE(Second.get());
}

TEST(ServiceGate, ASlotThatTheFirstMayNotHaveGoesToTheNext) {
  Service Two({"a", "b"});
  auto One = Two.enter(Millis(1000));
  auto Other = Two.enter(Millis(1000));
  ASSERT_TRUE(One && Other);
  const TargetId Freed = One->target().Spec.Id;
  auto First = Two.queue(Millis(1900), {Freed});
  auto Second = Two.queue(Millis(1900));
  One->release();
  ASSERT_TRUE(isReady(Second));
  EXPECT_EQ(Second.get()->target().Spec.Id, Freed);
  Other->release();
  ASSERT_TRUE(isReady(First));
  EXPECT_TRUE(First.get());
}

TEST(ServiceGate, WhoWaitsBehindOthersIsRefusedAtItsOwnDeadline) {
  Service Only({"a"});
  auto Holder = Only.enter(Millis(1000));
  ASSERT_TRUE(Holder);
  auto First = Only.queue(Millis(1900));
  auto Second = Only.queue(Millis(200));
  ASSERT_TRUE(isReady(Second, Millis(700)));
  EXPECT_EQ(Second.get().error(), ServiceGate::Refusal::TooLate);
  EXPECT_FALSE(isReady(First, Millis(0)));
}

TEST(ServiceGate, ASlotThatComesTooLateToBeOfUseIsNotTaken) {
  Service Only({"a"}, Millis(300));
  auto Holder = Only.enter(Millis(1000));
  ASSERT_TRUE(Holder);
  auto First = Only.queue(Millis(800));
  std::this_thread::sleep_for(Millis(600));
  Holder->release();
  ASSERT_TRUE(isReady(First));
  const Entered End = First.get();
  ASSERT_FALSE(End);
  EXPECT_EQ(End.error(), ServiceGate::Refusal::TooLate);
}

} // namespace
} // namespace siskinstage
