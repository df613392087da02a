#include "core/targets/target_notices.h"
#include "siskinstage/config.h"

#include <gtest/gtest.h>

namespace siskinstage {
namespace {

using namespace std::chrono_literals;

const Instant Start{1000s};
const RateLimitSource Own = {Address("10.0.0.1:80"), true};
/// Sun, 06 Nov 1994 08:49:37 GMT.
constexpr std::uint64_t WallMs = 784111777000;

std::optional<double> rateOf(const std::vector<std::string> &Values) {
  for (const TargetNotice &Notice :
       readNotices({Values, {}, false}, 200, WallMs).Items)
    if (const auto *Rate = std::get_if<RateLimitNotice>(&Notice))
      return Rate->PerSecond;
  return std::nullopt;
}

std::optional<Duration> backOffOf(const std::vector<std::string> &Values,
                                  int Status = 503) {
  for (const TargetNotice &Notice :
       readNotices({{}, Values, false}, Status, WallMs).Items)
    if (const auto *BackOff = std::get_if<BackOffNotice>(&Notice))
      return BackOff->Length;
  return std::nullopt;
}

TEST(TargetNotice, AResponseWithoutHeadersStatesNothing) {
  const StatedNotices Stated = readNotices({}, 200, WallMs);
  EXPECT_TRUE(Stated.Items.empty());
  EXPECT_TRUE(Stated.Faults.empty());
  EXPECT_TRUE(Stated.NoRateLimit);
}

TEST(TargetNotice, RateLimitsAreDecimalNumbers) {
  EXPECT_EQ(rateOf({"1"}), 1.0);
  EXPECT_EQ(rateOf({" 2.5 "}), 2.5);
  EXPECT_EQ(rateOf({"0.0001"}), config::MinTargetRate);
  EXPECT_EQ(rateOf({"1e300"}), config::MaxTargetRate);
  EXPECT_EQ(rateOf({"7", "3"}), 3.0);
  EXPECT_EQ(rateOf({"none", "3"}), 3.0);
}

TEST(TargetNotice, AnInvalidRateLimitIsNamedAndChangesNothing) {
  for (const char *Value :
       {"", "-1", "0", "nan", "inf", "-inf", "1e999", "few", "1 2", "0x10"}) {
    const StatedNotices Stated = readNotices({{Value}, {}, false}, 200, WallMs);
    EXPECT_TRUE(Stated.Items.empty()) << Value;
    EXPECT_FALSE(Stated.NoRateLimit) << Value;
    ASSERT_EQ(Stated.Faults.size(), 1U) << Value;
    EXPECT_NE(Stated.Faults[0].find("rate limit"), std::string::npos);
  }
}

TEST(TargetNotice, RetryAfterIsSecondsOrADate) {
  EXPECT_EQ(backOffOf({"4"}), Duration(4s));
  EXPECT_EQ(backOffOf({"0.25"}), Duration(250ms));
  EXPECT_EQ(backOffOf({"Sun, 06 Nov 1994 08:49:47 GMT"}), Duration(10s));
  EXPECT_EQ(backOffOf({"1", "3"}), Duration(3s));
  EXPECT_EQ(backOffOf({"4"}, 200), std::nullopt);
}

TEST(TargetNotice, ARetryAfterThatIsPastOrFarAwayIsBounded) {
  EXPECT_EQ(backOffOf({"0"}), std::nullopt);
  EXPECT_EQ(backOffOf({"Sun, 06 Nov 1994 08:49:27 GMT"}), std::nullopt);
  for (const char *Value :
       {"31536000", "1e300", "Mon, 06 Nov 1995 08:49:37 GMT"})
    EXPECT_EQ(backOffOf({Value}), Duration(config::MaxBackOff)) << Value;
}

TEST(TargetNotice, AnInvalidRetryAfterIsNamed) {
  for (const char *Value : {"", "-1", "nan", "inf", "1e999", "soon"}) {
    const StatedNotices Stated = readNotices({{}, {Value}, false}, 503, WallMs);
    EXPECT_TRUE(Stated.Items.empty()) << Value;
    ASSERT_EQ(Stated.Faults.size(), 1U) << Value;
    EXPECT_NE(Stated.Faults[0].find("Retry-After"), std::string::npos);
  }
}

StatedNotices only(TargetNotice Notice) { return {{Notice}, {}, true}; }

TEST(TargetNotices, ATargetIsLeftAloneAsLongAsItAsks) {
  TargetNotices Notices;
  EXPECT_TRUE(Notices.allows(Start));
  EXPECT_TRUE(Notices.hear(only(BackOffNotice{4s}), Start, Own, true, Start)
                  .BackOffStarted);
  EXPECT_FALSE(Notices.allows(Start + 3999ms));
  EXPECT_TRUE(Notices.restricts(Start + 3999ms));
  EXPECT_TRUE(Notices.allows(Start + 4s));
  EXPECT_FALSE(Notices.restricts(Start + 4s));
}

TEST(TargetNotices, AShorterTimeDoesNotEndALongerOne) {
  TargetNotices Notices;
  Notices.hear(only(BackOffNotice{4s}), Start, Own, true, Start);
  EXPECT_FALSE(
      Notices.hear(only(BackOffNotice{1s}), Start, Own, true, Start + 1s)
          .BackOffStarted);
  EXPECT_FALSE(Notices.allows(Start + 3s));
}

TEST(TargetNotices, ARejectionDoesNotEndALimit) {
  TargetNotices Notices;
  Notices.hear(only(RateLimitNotice{1}), Start, Own, false, Start);
  for (int I = 0; I < 5; ++I)
    Notices.hear({}, Start + 1s, Own, true, Start + 2s);
  EXPECT_TRUE(Notices.rateLimit().limited());
}

TEST(TargetNotices, AnInvalidLimitNeitherEndsNorStartsOne) {
  const StatedNotices Invalid = readNotices({{"few"}, {}, false}, 200, WallMs);
  TargetNotices Notices;
  Notices.hear(only(RateLimitNotice{1}), Start, Own, false, Start);
  EXPECT_TRUE(
      Notices.hear(Invalid, Start + 1s, Own, false, Start + 2s).FirstFault);
  for (int I = 0; I < 5; ++I)
    EXPECT_FALSE(
        Notices.hear(Invalid, Start + 1s, Own, false, Start + 2s).FirstFault);
  EXPECT_TRUE(Notices.rateLimit().limited());
}

} // namespace
} // namespace siskinstage
