#include "node/records/shared_records.h"

#include <gtest/gtest.h>

namespace siskinstage {
namespace {

const RecordKey Key = {RecordKind::Bundle, "operator"};

Record record(std::uint64_t Rev) {
  Record New;
  New.Key = Key;
  New.Rev = {Rev};
  return New;
}

TEST(SharedRecords, ARecordOnItsWayIsNotReadAgain) {
  SharedRecords Records;
  EXPECT_EQ(Records.expectedRevision(Key), Revision{});
  Records.expect(Key, {5});
  EXPECT_EQ(Records.expectedRevision(Key), Revision{5});
  EXPECT_EQ(Records.revision(Key), Revision{});
  EXPECT_FALSE(Records.allApplied());
  Records.adopt(record(5));
  EXPECT_EQ(Records.expectedRevision(Key), Revision{5});
  EXPECT_TRUE(Records.allApplied());
}

TEST(SharedRecords, AnOlderRecordEndsNoWaitForANewerOne) {
  SharedRecords Records;
  Records.expect(Key, {5});
  Records.adopt(record(4));
  EXPECT_FALSE(Records.allApplied());
  EXPECT_EQ(Records.expectedRevision(Key), Revision{5});
  Records.adopt(record(6));
  EXPECT_TRUE(Records.allApplied());
  EXPECT_EQ(Records.expectedRevision(Key), Revision{6});
}

TEST(SharedRecords, ARecordThatWasAppliedMeanwhileIsNotAwaited) {
  SharedRecords Records;
  Records.adopt(record(5));
  Records.expect(Key, {5});
  EXPECT_TRUE(Records.allApplied());
}

} // namespace
} // namespace siskinstage
