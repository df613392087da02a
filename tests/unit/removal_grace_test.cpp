#include "core/records/history_start.h"
#include "core/records/removal_grace.h"

#include <gtest/gtest.h>

namespace siskinstage {
namespace {

constexpr Millis Length{2200};

Instant at(int Ms) { return Instant(Millis(Ms)); }

// Guards against grace times that add up while other nodes report an outage.
TEST(RemovalGrace, ReportsOfOthersProlongItOnceAtMost) {
  RemovalGrace Grace(Length);
  Grace.beginReading(at(1000));
  EXPECT_TRUE(Grace.noteReportedOutage(at(1000)));
  for (int Ms = 1100; Ms < 10'000; Ms += 100)
    EXPECT_FALSE(Grace.noteReportedOutage(at(Ms)));
  EXPECT_EQ(Grace.end(), at(3200));
}

// Guards against a fleet that waits for a node that is cut off alone.
TEST(RemovalGrace, ANodeThatReadsAllTheTimeIgnoresReports) {
  RemovalGrace Grace(Length);
  Grace.beginReading(at(1000));
  EXPECT_FALSE(Grace.noteReportedOutage(at(3200)));
  EXPECT_FALSE(Grace.active(at(3200)));
}

// Guards against live targets that are taken for deleted after an outage.
TEST(RemovalGrace, ItLastsFromTheLastFailure) {
  RemovalGrace Grace(Length);
  Grace.beginReading(at(0));
  Grace.noteFailure(at(5000));
  Grace.noteFailure(at(6000));
  EXPECT_TRUE(Grace.active(at(8199)));
  EXPECT_FALSE(Grace.active(at(8200)));
  EXPECT_FALSE(Grace.noteReportedOutage(at(8000)));
}

// Guards against live targets that are taken for deleted, as the last read that
// failed was a whole pause before the platform's return.
TEST(RemovalGrace, AfterAFailureItLastsFromTheFirstReadThatSucceeds) {
  RemovalGrace Grace(Length);
  Grace.beginReading(at(0));
  Grace.noteFailure(at(5000));
  Grace.noteSuccess(at(6000));
  Grace.noteSuccess(at(7000));
  EXPECT_EQ(Grace.end(), at(8200));
}

// Guards against a held list that counts as another reason ends earlier.
TEST(RemovalGrace, ALaterEndHolds) {
  RemovalGrace Grace(Length);
  Grace.beginReading(at(0));
  Grace.hold(at(5000));
  Grace.hold(at(700));
  EXPECT_FALSE(Grace.noteReturn(at(100), at(200)));
  EXPECT_EQ(Grace.end(), at(5000));
}

// Guards against a failure that counts when the node reads again much later.
TEST(RemovalGrace, AFailureBeforeReadingEndedDoesNotCount) {
  RemovalGrace Grace(Length);
  Grace.beginReading(at(0));
  Grace.noteFailure(at(1000));
  Grace.beginReading(at(60'000));
  Grace.noteSuccess(at(60'100));
  EXPECT_FALSE(Grace.active(at(60'100)));
}

// Guards against a grace time that begins anew at each node that notices a
// return later than others.
TEST(RemovalGrace, AReturnCountsFromItsFirstNotice) {
  RemovalGrace Grace(Length);
  Grace.beginReading(at(0));
  EXPECT_TRUE(Grace.noteReturn(at(5000), at(6000)));
  EXPECT_EQ(Grace.end(), at(7200));
  EXPECT_FALSE(Grace.noteReturn(at(5000), at(6500)));
  RemovalGrace Late(Length);
  EXPECT_FALSE(Late.noteReturn(at(5000), at(7200)));
  EXPECT_FALSE(Late.active(at(7200)));
}

// Guards against a second return within the grace time that is taken for the
// first one.
TEST(HistoryStart, EachEpochHasItsEarliestNotice) {
  HistoryStart Start;
  EXPECT_FALSE(Start.noticed({1}));
  Start.note({2}, at(5000));
  Start.note({2}, at(4000));
  Start.note({2}, at(6000));
  EXPECT_EQ(Start.noticed({2}), at(4000));
  Start.note({3}, at(5500));
  Start.note({2}, at(1000));
  EXPECT_EQ(Start.noticed({3}), at(5500));
  EXPECT_EQ(Start.noticed({2}), at(5500));
  EXPECT_FALSE(Start.noticed({4}));
}

// Guards against messages that are longer for ever after a return.
TEST(HistoryStart, ItIsToldForATime) {
  HistoryStart Start;
  EXPECT_FALSE(Start.notice(at(0), Millis(1000)));
  Start.note({2}, at(500));
  const auto Told = Start.notice(at(900), Millis(1000));
  ASSERT_TRUE(Told);
  EXPECT_EQ(Told->Epoch, HistoryEpoch{2});
  EXPECT_EQ(Told->Age, Millis(400));
  EXPECT_FALSE(Start.notice(at(1501), Millis(1000)));
}

} // namespace
} // namespace siskinstage
