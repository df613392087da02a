#include "core/rate_limit_header.h"
#include "siskinstage/config.h"

#include <gtest/gtest.h>

namespace siskinstage {
namespace {

TEST(RateLimitHeader, AbsentHeaderIsNoLimit) {
  const auto Limit = parseRateLimit({});
  ASSERT_TRUE(Limit);
  EXPECT_FALSE(*Limit);
}

TEST(RateLimitHeader, DecimalNumbersAreRead) {
  EXPECT_EQ(**parseRateLimit({"1"}), 1.0);
  EXPECT_EQ(**parseRateLimit({" 2.5 "}), 2.5);
}

TEST(RateLimitHeader, TheLowestOfSeveralValuesCounts) {
  EXPECT_EQ(**parseRateLimit({"7", "3"}), 3.0);
  EXPECT_EQ(**parseRateLimit({"none", "3"}), 3.0);
}

TEST(RateLimitHeader, AVeryLowLimitIsRaised) {
  EXPECT_EQ(**parseRateLimit({"0.0001"}), config::MinTargetRate);
}

TEST(RateLimitHeader, InvalidValuesAreErrors) {
  for (const char *Value :
       {"", "-1", "0", "nan", "inf", "-inf", "1e999", "few", "1 2", "0x10",
        "99999999999999999999999999999999999999999999"}) {
    const auto Limit = parseRateLimit({Value});
    EXPECT_FALSE(Limit) << Value;
  }
}

} // namespace
} // namespace siskinstage
