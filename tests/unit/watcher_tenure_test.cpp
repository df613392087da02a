#include "core/fleet/watcher_tenure.h"

#include <gtest/gtest.h>

namespace siskinstage {
namespace {

Instant at(int Ms) { return Instant(Millis(Ms)); }

SteeringNode watcher(const char *Endpoint, bool Unreachable = false) {
  SteeringNode Node;
  Node.Endpoint = Address(Endpoint);
  Node.PlatformUnreachable = Unreachable;
  return Node;
}

// Guards against a node that waits for others that read no earlier than itself,
// or can't read.
TEST(WatcherTenure, OnlyOthersThatHaveReadAllTheTimeCount) {
  const Address Self("10.0.0.9:1");
  WatcherTenure Tenure;
  Tenure.note({watcher("10.0.0.1:1"), watcher("10.0.0.2:1", true)}, at(1000));
  Tenure.note(
      {watcher("10.0.0.1:1"), watcher("10.0.0.2:1"), watcher("10.0.0.9:1")},
      at(2000));
  EXPECT_TRUE(Tenure.hasOtherSince(Self, at(1000)));
  EXPECT_FALSE(Tenure.hasOtherSince(Self, at(999)));
  Tenure.note({watcher("10.0.0.2:1"), watcher("10.0.0.9:1")}, at(3000));
  EXPECT_FALSE(Tenure.hasOtherSince(Self, at(1999)));
  EXPECT_TRUE(Tenure.hasOtherSince(Self, at(2000)));
}

} // namespace
} // namespace siskinstage
