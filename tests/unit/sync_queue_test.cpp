#include "node/records/sync_queue.h"

#include <gtest/gtest.h>

namespace siskinstage {
namespace {

SyncTask task(SyncTask::Kind TaskKind) {
  return {TaskKind, Address("10.0.0.1:1")};
}

TEST(SyncQueue, AnAnnouncedRecordPassesWaitingComparisons) {
  SyncQueue Tasks(4);
  EXPECT_TRUE(Tasks.push(task(SyncTask::Kind::Records)));
  EXPECT_TRUE(Tasks.push(task(SyncTask::Kind::Members)));
  EXPECT_TRUE(Tasks.push(task(SyncTask::Kind::OneRecord)));
  EXPECT_EQ(Tasks.pop()->TaskKind, SyncTask::Kind::OneRecord);
  EXPECT_EQ(Tasks.pop()->TaskKind, SyncTask::Kind::Records);
  EXPECT_EQ(Tasks.pop()->TaskKind, SyncTask::Kind::Members);
  EXPECT_FALSE(Tasks.pop());
}

TEST(SyncQueue, AnAnnouncedRecordIsFoundAmidAComparison) {
  SyncQueue Tasks(4);
  Tasks.push(task(SyncTask::Kind::Records));
  EXPECT_FALSE(Tasks.popAnnounced());
  Tasks.push(task(SyncTask::Kind::OneRecord));
  EXPECT_TRUE(Tasks.popAnnounced());
}

TEST(SyncQueue, ManyComparisonsLeaveAnnouncedRecordsTheirPlaces) {
  SyncQueue Tasks(2);
  EXPECT_TRUE(Tasks.push(task(SyncTask::Kind::Records)));
  EXPECT_TRUE(Tasks.push(task(SyncTask::Kind::Records)));
  EXPECT_FALSE(Tasks.push(task(SyncTask::Kind::Records)));
  EXPECT_TRUE(Tasks.push(task(SyncTask::Kind::OneRecord)));
}

} // namespace
} // namespace siskinstage
