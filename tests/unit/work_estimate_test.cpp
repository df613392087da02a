#include "core/requests/work_estimate.h"

#include <gtest/gtest.h>

namespace siskinstage {
namespace {

const Instant Start = Instant(std::chrono::hours(1));

// Large uploads are planned like small ones and end after their deadline.
TEST(WorkEstimate, LargerBodiesAreExpectedToTakeLonger) {
  WorkEstimate Estimate;
  for (int I = 0; I < 200; ++I) {
    const std::uint64_t Bytes = 10'000 * static_cast<std::uint64_t>(I % 20);
    Estimate.observe(Millis(200) + Millis(10) * (I % 20), Bytes, Start);
  }
  const auto At = [&Estimate](std::uint64_t Bytes) {
    return Estimate.expected(Bytes, Millis(300), Start);
  };
  EXPECT_NEAR(static_cast<double>(At(0) / Millis(1)), 200, 10);
  EXPECT_NEAR(static_cast<double>(At(300'000) / Millis(1)), 500, 15);
}

// The first requests of a route count as free, or an old estimate as new.
TEST(WorkEstimate, WithoutRecentTimesThePriorHolds) {
  WorkEstimate Estimate;
  EXPECT_EQ(Estimate.expected(0, priorWork(Millis(1000), {}), Start),
            Millis(300));
  EXPECT_EQ(Estimate.age(Start), std::nullopt);
  for (int I = 0; I < 50; ++I)
    Estimate.observe(Millis(100), 0, Start);
  EXPECT_LT(Estimate.expected(0, Millis(300), Start), Millis(120));
  const Instant Later = Start + std::chrono::minutes(10);
  EXPECT_GT(Estimate.expected(0, Millis(300), Later), Millis(290));
  EXPECT_EQ(Estimate.age(Later), std::chrono::minutes(10));
}

} // namespace
} // namespace siskinstage
