#include "core/records/readiness.h"

#include <gtest/gtest.h>

namespace siskinstage {
namespace {

TEST(Readiness, NoWaitMakesUpForAMissingConfiguration) {
  ReadinessFacts Known;
  Known.PlatformRead = true;
  Known.PlatformCurrent = true;
  Known.DomainsCompared = 2;
  Known.WaitedOut = true;
  EXPECT_FALSE(mayServeCallers(Known));
  EXPECT_FALSE(hasPlatformRecords(Known));
  Known.ConfigurationKnown = true;
  EXPECT_TRUE(mayServeCallers(Known));
}

TEST(Readiness, RecordsOfUnknownOriginAreNotServedAfterTheWait) {
  ReadinessFacts Known;
  Known.ConfigurationKnown = true;
  Known.WaitedOut = true;
  EXPECT_FALSE(mayServeCallers(Known));
  Known.DomainsCompared = 1;
  EXPECT_TRUE(mayServeCallers(Known));
}

TEST(Readiness, PeersOfOneDomainSufficeOnlyIfNoOtherIsListed) {
  ReadinessFacts Known;
  Known.ConfigurationKnown = true;
  Known.DomainsCompared = 1;
  EXPECT_FALSE(mayServeCallers(Known));
  Known.InstanceListRead = true;
  Known.DomainsListed = 1;
  EXPECT_TRUE(mayServeCallers(Known));
  Known.DomainsListed = 2;
  EXPECT_FALSE(mayServeCallers(Known));
  Known.DomainsCompared = 2;
  EXPECT_TRUE(mayServeCallers(Known));
}

TEST(Readiness, ANodeThatKnowsOnlyItsPeersRecordsConfirmsNoOthers) {
  ReadinessFacts Known;
  Known.ConfigurationKnown = true;
  Known.DomainsCompared = 1;
  EXPECT_FALSE(hasPlatformRecords(Known));
  Known.PlatformRead = true;
  EXPECT_TRUE(hasPlatformRecords(Known));
}

TEST(Readiness, ACurrentReadOfThePlatformSuffices) {
  ReadinessFacts Known;
  Known.ConfigurationKnown = true;
  Known.PlatformRead = true;
  EXPECT_FALSE(mayServeCallers(Known));
  Known.PlatformCurrent = true;
  EXPECT_TRUE(mayServeCallers(Known));
}

} // namespace
} // namespace siskinstage
