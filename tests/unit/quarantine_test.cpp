#include "core/quarantine.h"

#include <gtest/gtest.h>

namespace siskinstage {
namespace {

TEST(Quarantine, RefusesWhatCrashedTwoTargets) {
  Quarantine Table;
  EXPECT_TRUE(Table.addCrash({1}, TargetId("a"), Instant{}));
  EXPECT_FALSE(Table.addCrash({1}, TargetId("a"), Instant{}));
  EXPECT_FALSE(Table.isQuarantined({1}, Instant{}));
  EXPECT_TRUE(Table.addCrash({1}, TargetId("b"), Instant{}));
  EXPECT_TRUE(Table.isQuarantined({1}, Instant{}));
  EXPECT_FALSE(Table.isQuarantined({2}, Instant{}));
}

TEST(Quarantine, AnAnswerClearsARequest) {
  Quarantine Table;
  Table.addCrash({1}, TargetId("a"), Instant{});
  Table.addResponse({1}, Instant{});
  Table.addCrash({1}, TargetId("b"), Instant{});
  EXPECT_FALSE(Table.isQuarantined({1}, Instant{}));
}

// A popular request is at some target whenever one crashes.
TEST(Quarantine, WhatIsAnsweredAllTheTimeIsNeverRefused) {
  Quarantine Table;
  Table.addResponse({1}, Instant{});
  EXPECT_FALSE(Table.addCrash({1}, TargetId("a"), Instant{}));
  EXPECT_FALSE(Table.addCrash({1}, TargetId("b"), Instant{}));
  EXPECT_FALSE(Table.isQuarantined({1}, Instant{}));
}

TEST(Quarantine, EndsAfterItsTime) {
  Quarantine Table;
  Table.addCrash({1}, TargetId("a"), Instant{});
  Table.addCrash({1}, TargetId("b"), Instant{});
  EXPECT_FALSE(Table.isQuarantined({1}, Instant(std::chrono::hours(1))));
}

} // namespace
} // namespace siskinstage
