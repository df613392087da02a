#include "core/quarantine.h"

#include <gtest/gtest.h>

namespace siskinstage {
namespace {

TEST(Quarantine, RefusesWhatCrashedTwoTargets) {
  Quarantine Table;
  EXPECT_TRUE(Table.crashed({1}, TargetId("a"), Instant{}));
  EXPECT_FALSE(Table.crashed({1}, TargetId("a"), Instant{}));
  EXPECT_FALSE(Table.refuses({1}, Instant{}));
  EXPECT_TRUE(Table.crashed({1}, TargetId("b"), Instant{}));
  EXPECT_TRUE(Table.refuses({1}, Instant{}));
  EXPECT_FALSE(Table.refuses({2}, Instant{}));
}

TEST(Quarantine, AnAnswerClearsARequest) {
  Quarantine Table;
  Table.crashed({1}, TargetId("a"), Instant{});
  Table.answered({1}, Instant{});
  Table.crashed({1}, TargetId("b"), Instant{});
  EXPECT_FALSE(Table.refuses({1}, Instant{}));
}

// A popular request is at some target whenever one crashes.
TEST(Quarantine, WhatIsAnsweredAllTheTimeIsNeverRefused) {
  Quarantine Table;
  Table.answered({1}, Instant{});
  EXPECT_FALSE(Table.crashed({1}, TargetId("a"), Instant{}));
  EXPECT_FALSE(Table.crashed({1}, TargetId("b"), Instant{}));
  EXPECT_FALSE(Table.refuses({1}, Instant{}));
}

TEST(Quarantine, EndsAfterItsTime) {
  Quarantine Table;
  Table.crashed({1}, TargetId("a"), Instant{});
  Table.crashed({1}, TargetId("b"), Instant{});
  EXPECT_FALSE(Table.refuses({1}, Instant(std::chrono::hours(1))));
}

} // namespace
} // namespace siskinstage
