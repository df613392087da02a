#include "core/requests/quarantine.h"

#include <gtest/gtest.h>

namespace siskinstage {
namespace {

TEST(Quarantine, RejectsARequestThatCrashedTwoTargets) {
  Quarantine Table;
  EXPECT_TRUE(Table.addCrash({1}, TargetId("a"), Instant{}));
  EXPECT_FALSE(Table.addCrash({1}, TargetId("a"), Instant{}));
  EXPECT_FALSE(Table.isQuarantined({1}, Instant{}));
  EXPECT_TRUE(Table.addCrash({1}, TargetId("b"), Instant{}));
  EXPECT_TRUE(Table.isQuarantined({1}, Instant{}));
  EXPECT_FALSE(Table.isQuarantined({2}, Instant{}));
}

TEST(Quarantine, AResponseClearsARequest) {
  Quarantine Table;
  Table.addCrash({1}, TargetId("a"), Instant{});
  Table.addResponse({1}, Instant{});
  Table.addCrash({1}, TargetId("b"), Instant{});
  EXPECT_FALSE(Table.isQuarantined({1}, Instant{}));
}

// A frequent request is in flight at some target whenever a target crashes, and
// must not be blamed for it.
TEST(Quarantine, ARequestWithRecentResponsesIsNeverRejected) {
  Quarantine Table;
  Table.addResponse({1}, Instant{});
  EXPECT_FALSE(Table.addCrash({1}, TargetId("a"), Instant{}));
  EXPECT_FALSE(Table.addCrash({1}, TargetId("b"), Instant{}));
  EXPECT_FALSE(Table.isQuarantined({1}, Instant{}));
}

TEST(Quarantine, EndsAfterItsDuration) {
  Quarantine Table;
  Table.addCrash({1}, TargetId("a"), Instant{});
  Table.addCrash({1}, TargetId("b"), Instant{});
  EXPECT_FALSE(Table.isQuarantined({1}, Instant(std::chrono::hours(1))));
}

} // namespace
} // namespace siskinstage
