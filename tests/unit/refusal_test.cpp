#include "node/requests/refusal.h"

#include <gtest/gtest.h>
#include <string>

namespace siskinstage {
namespace {

/// The advice to a caller without an idempotency key.
struct Advice {
  int Status;
  Outcome RequestOutcome;
  const char *Expected;
};

TEST(Refusal, AdviceFitsItsCause) {
  constexpr Advice Table[] = {
      {400, Outcome::NotRun, "correct the request"},
      {404, Outcome::NotRun, "correct the request"},
      {408, Outcome::NotRun, "send again later"},
      {413, Outcome::NotRun, "correct the request"},
      {422, Outcome::NotRun, "correct the request"},
      {429, Outcome::NotRun, "send again later"},
      {431, Outcome::NotRun, "correct the request"},
      {501, Outcome::NotRun, "correct the request"},
      {502, Outcome::Unknown, "ask before sending again"},
      {503, Outcome::NotRun, "send again later"},
      {504, Outcome::Unknown, "ask before sending again"},
      {505, Outcome::NotRun, "correct the request"},
  };
  for (const Advice &Entry : Table)
    EXPECT_EQ(
        std::string(retryAdvice(
            {Entry.Status, Entry.RequestOutcome, {}, std::nullopt}, false)),
        Entry.Expected)
        << Entry.Status;
}

TEST(Refusal, StatusMatchesOutcome) {
  for (const int Status : {408, 421, 429, 500, 502, 503, 504}) {
    EXPECT_EQ(statusForOutcome(Status, Outcome::NotRun), 503);
    EXPECT_EQ(statusForOutcome(Status, Outcome::Unknown),
              Status == 504 ? 504 : 502);
  }
}

TEST(Refusal, RetryAfterIsRandomized) {
  const Duration First = randomRetryAfter();
  bool Differs = false;
  for (int I = 0; I < 20; ++I) {
    const Duration Next = randomRetryAfter();
    Differs = Differs || Next != First;
    EXPECT_GT(Next, Duration::zero());
    EXPECT_LT(Next, std::chrono::seconds(1));
  }
  EXPECT_TRUE(Differs);
}

} // namespace
} // namespace siskinstage
