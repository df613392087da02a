#include "unit/wait_replay.h"

#include <algorithm>
#include <cstdio>
#include <gtest/gtest.h>

namespace siskinstage::wait_replay {
namespace {

using OrderKind = WaitQueue::OrderKind;

class WaitReplay
    : public testing::TestWithParam<std::tuple<Disturbance, double>> {
protected:
  static Trace trace() {
    Scenario Source;
    std::tie(Source.Kind, Source.Load) = GetParam();
    return Trace::make(Source);
  }
  static void print(const char *Order, const Summary &Sum, double Ideal,
                    double Known) {
    std::printf(
        "%s: of the ideal %.3f, of one that knows each time %.3f; value "
        "by priority %.2f %.2f %.2f; served, worst kind %.2f, worst "
        "account %.2f; worst second %.2f; 9 of 10 rejected in %.2f s\n",
        Order, Sum.Value / Ideal, Sum.Value / Known, Sum.ByKind[0],
        Sum.ByKind[1], Sum.ByKind[2], Sum.WorstKind, Sum.WorstAccount,
        Sum.WorstSecond, Sum.RejectionTime);
  }
};

// Slots are spent on responses that are late, or on what callers value least.
TEST_P(WaitReplay, ServedValueIsCloseToThatOfAnIdealSchedule) {
  const Trace Played = trace();
  const Summary Worth = summarize(Played, play(Played, OrderKind::Worth));
  const Summary Arrival = summarize(Played, play(Played, OrderKind::Arrival));
  const double Ideal = idealValue(Played, false);
  const double Known = idealValue(Played, true);
  print("by worth", Worth, Ideal, Known);
  print("by arrival", Arrival, Ideal, Known);
  EXPECT_GE(Worth.Value / Ideal, 0.95);
  EXPECT_GE(Worth.Value, Arrival.Value);
  EXPECT_GE(Worth.WorstKind, 0.25);
  EXPECT_GE(Worth.WorstAccount, 0.25);
  EXPECT_GE(Worth.WorstSecond, std::min(Arrival.WorstSecond, 0.95));
}

INSTANTIATE_TEST_SUITE_P(
    Loads, WaitReplay,
    testing::Combine(testing::Values(Disturbance::None, Disturbance::KindBursts,
                                     Disturbance::LargeAccount,
                                     Disturbance::Retries,
                                     Disturbance::SlotsGone),
                     testing::Values(0.8, 1.0, 1.3, 2.0)));

// The decision fits one set of prices alone: here a step of priority halves the
// value, or changes nothing.
TEST(WaitReplayPrices, OtherPricesAreServedBetterThanByArrival) {
  for (const double Step : {0.5, 0.75, 1.0}) {
    Scenario Source;
    Source.Load = 1.3;
    double Value = 2;
    for (Kind &Each : Source.Requests) {
      Each.Value = Value;
      Each.LateValue = Value * 0.3;
      Value *= Step;
    }
    const Trace Played = Trace::make(Source);
    const double Worth =
        summarize(Played, play(Played, OrderKind::Worth)).Value;
    const double Arrival =
        summarize(Played, play(Played, OrderKind::Arrival)).Value;
    const double Ideal = idealValue(Played, false);
    std::printf("step %.2f: by worth %.3f, by arrival %.3f of the ideal\n",
                Step, Worth / Ideal, Arrival / Ideal);
    EXPECT_GE(Worth, 1.5 * Arrival);
    EXPECT_GE(Worth / Ideal, 0.8);
  }
}

// An account at ten times its rate takes the slots of the others.
TEST(WaitReplayAccounts, AccountsOverTheirUsualRateDelayThemselvesFirst) {
  Scenario Source;
  Source.Kind = Disturbance::LargeAccount;
  Source.Load = 1.3;
  const Trace Played = Trace::make(Source);
  double Offered[2] = {}, Served[2] = {};
  for (const Request &Each : play(Played, OrderKind::Worth)) {
    if (Each.Arrived < 20 || Each.Arrived >= 40)
      continue;
    const bool Over = Each.Account == 2 || Each.Account == 5;
    Offered[Over] += 1;
    Served[Over] += Each.Value > 0 ? 1 : 0;
  }
  std::printf("served of accounts over their rate %.2f, of the others %.2f\n",
              Served[1] / Offered[1], Served[0] / Offered[0]);
  // The capacity serves 1 / 1.3 of what the others ask for by themselves.
  EXPECT_GE(Served[0] / Offered[0], 0.95 / Source.Load);
  EXPECT_LT(Served[1] / Offered[1], Served[0] / Offered[0]);
}

} // namespace
} // namespace siskinstage::wait_replay
