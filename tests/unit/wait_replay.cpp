#include "unit/wait_replay.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <queue>

namespace siskinstage::wait_replay {

const Kinds DeploymentA = {{{354, 0.32, 1.0, 2.0, 1.7, 0.2},
                            {690, 0.25, 1.2, 2.0, 1.8, 0.53},
                            {84.2, 0.3, 3.0, 6.0, 0.89, 0.4}}};

namespace {

const Instant Start = Instant(std::chrono::hours(1));
constexpr double Bin = 0.1; ///< Of the ideal schedule, in seconds.

Instant at(double Time) {
  return Start + std::chrono::duration_cast<Duration>(
                     std::chrono::duration<double>(Time));
}

double accountFactor(const Scenario &Source, std::size_t Account, double Time) {
  if (Source.Kind != Disturbance::LargeAccount || Time < 20 || Time >= 40)
    return 1;
  return Account == 2 ? 10 : Account == 5 ? 6 : 1;
}

double kindFactor(const Scenario &Source, std::size_t Kind, double Time) {
  if (Source.Kind != Disturbance::KindBursts || std::fmod(Time, 10) >= 3)
    return 1;
  return static_cast<std::size_t>(Time / 10) % KindCount == Kind ? 4 : 1;
}

} // namespace

std::uint32_t Trace::slotsAt(double Time) const {
  if (this->Source.Kind == Disturbance::SlotsGone && Time >= 20 && Time < 40)
    return this->Source.Slots * 2 / 3;
  return this->Source.Slots;
}

Trace Trace::make(const Scenario &Source) {
  Trace Made{Source, {}};
  Random Rng(Source.Seed);
  std::vector<double> Rates;
  double RateSum = 0;
  for (int I = 0; I < Source.Accounts; ++I)
    RateSum += Rates.emplace_back(std::pow(I + 1, -1.2));
  // The mean work of the undisturbed and disturbed traffic gives the scale.
  constexpr double Tick = 0.02;
  const auto ForEachStream = [&](const auto &Visit) {
    for (double T = 0; T < Source.Seconds; T += Tick)
      for (std::size_t A = 0; A < Rates.size(); ++A)
        for (std::size_t K = 0; K < KindCount; ++K)
          Visit(T, A, K,
                Source.Requests[K].PerSecond * Rates[A] / RateSum *
                    accountFactor(Source, A, T) * kindFactor(Source, K, T));
  };
  double Offered = 0;
  ForEachStream([&](double, std::size_t, std::size_t K, double PerSecond) {
    Offered += PerSecond * Tick * Source.Requests[K].Work;
  });
  const double Scale = Source.Load * Source.Slots * Source.Seconds / Offered;
  ForEachStream([&](double T, std::size_t A, std::size_t K, double PerSecond) {
    double Expected = PerSecond * Scale * Tick;
    for (; Rng.unit() < Expected; Expected -= 1)
      Made.Requests.push_back(
          {K, A, T + Tick * Rng.unit(),
           Source.Requests[K].Work * (0.75 + 0.5 * Rng.unit()), 0, 0});
  });
  std::sort(Made.Requests.begin(), Made.Requests.end(),
            [](const auto &A, const auto &B) { return A.Arrived < B.Arrived; });
  return Made;
}

std::vector<Request> play(const Trace &Played, WaitQueue::OrderKind Order) {
  WaitQueue Queue(Played.Source.Seed);
  WaitQueue::Settings Limits;
  Limits.MaxWaiting = 10'000;
  Limits.MaxWait = std::chrono::seconds(4);
  Limits.Order = Order;
  Queue.configure(Limits);
  std::vector<Request> Requests = Played.Requests;
  enum class Step { Ends, Arrives, Expires };
  using Event = std::tuple<double, Step, std::size_t>;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> Events;
  for (std::size_t I = 0; I < Requests.size(); ++I)
    Events.emplace(Requests[I].Arrived, Step::Arrives, I);
  Events.emplace(0, Step::Expires, 0);
  std::vector<int> Retries(Requests.size(), 0);
  std::uint32_t Busy = 0;
  while (!Events.empty()) {
    const auto [Time, Kind, I] = Events.top();
    Events.pop();
    const Instant Now = at(Time);
    const std::uint32_t Slots = Played.slotsAt(Time);
    const Room Space = {Slots, Slots - std::min(Busy, Slots)};
    std::vector<Rejected> Gone;
    if (Kind == Step::Ends) {
      --Busy;
    } else if (Kind == Step::Expires) {
      Gone = Queue.expire(Space, Now);
      if (Time < Played.Source.Seconds + 10)
        Events.emplace(Time + 0.02, Step::Expires, 0);
    } else {
      const auto &Type = Played.Source.Requests[Requests[I].Kind];
      WaitingRequest New;
      New.Id = {I};
      New.Account = AccountName("a" + std::to_string(Requests[I].Account));
      New.Priority = static_cast<std::uint32_t>(Requests[I].Kind);
      New.Arrived = Now;
      New.Deadline = at(Requests[I].Arrived + Type.Deadline);
      New.Objective = at(Requests[I].Arrived + Type.Objective);
      New.Work = at(Type.Work) - Start;
      New.Bytes = 1000;
      Gone = Queue.add(New, Space, Now);
    }
    for (const Rejected &Each : Gone)
      Requests[Each.Id.Value].Waited = Time - Requests[Each.Id.Value].Arrived;
    if (Played.Source.Kind == Disturbance::Retries)
      for (const Rejected &Each : Gone)
        if (Retries[Each.Id.Value]++ < 4)
          Events.emplace(Time + 0.05, Step::Arrives, Each.Id.Value);
    while (Busy < Slots) {
      const auto Id = Queue.next(Now);
      if (!Id)
        break;
      ++Busy;
      Request &Started = Requests[Id->Value];
      const auto &Type = Played.Source.Requests[Started.Kind];
      const double End = Time + Started.Work;
      if (End <= Started.Arrived + Type.Deadline)
        Started.Value = End <= Started.Arrived + Type.Objective
                            ? Type.Value
                            : Type.LateValue;
      Events.emplace(End, Step::Ends, 0);
    }
  }
  return Requests;
}

namespace {

/// Prices of the limits that every schedule must keep: slots, by bin of time,
/// and the least fraction served of each kind.
struct Prices {
  std::vector<double> OfSlots;
  std::array<double, KindCount> OfKinds{};
};

/// The use of those limits by the requests that gain most at given prices.
struct Use {
  std::vector<double> OfSlots;
  std::array<double, KindCount> Served{};
  double Gain = 0;
};

std::size_t binOf(double Time) { return static_cast<std::size_t>(Time / Bin); }

using Span = std::pair<std::size_t, std::size_t>; ///< First and last bin.

double lowest(const std::vector<double> &Of, Span Bins) {
  return *std::min_element(Of.begin() + static_cast<long>(Bins.first),
                           Of.begin() + static_cast<long>(Bins.second) + 1);
}

Use bestUse(const Trace &Played, const Prices &At,
            const std::array<double, KindCount> &Bonus, double Known) {
  Use Made{std::vector<double>(At.OfSlots.size(), 0.0)};
  for (const Request &Each : Played.Requests) {
    const Kind &Type = Played.Source.Requests[Each.Kind];
    const std::size_t First = binOf(Each.Arrived);
    const double Work = Known * Each.Work + (1 - Known) * Type.Work;
    const Span Early = {First, binOf(Each.Arrived + Type.Objective)};
    const Span Any = {First, binOf(Each.Arrived + Type.Deadline)};
    const double EarlyPrice = lowest(At.OfSlots, Early);
    const double AnyPrice = lowest(At.OfSlots, Any);
    const double EarlyGain = Type.Value - EarlyPrice * Work;
    const double LateGain = Type.LateValue - AnyPrice * Work;
    const double Gain = std::max(EarlyGain, LateGain) + Bonus[Each.Kind];
    if (Gain <= 0)
      continue;
    Made.Gain += Gain;
    Made.Served[Each.Kind] += 1;
    // Spread over the cheapest bins, which smooths the search.
    const Span Used = EarlyGain >= LateGain ? Early : Any;
    const double Limit = (EarlyGain >= LateGain ? EarlyPrice : AnyPrice) + 0.02;
    std::size_t Cheap = 0;
    for (std::size_t I = Used.first; I <= Used.second; ++I)
      Cheap += At.OfSlots[I] <= Limit ? 1 : 0;
    for (std::size_t I = Used.first; I <= Used.second; ++I)
      if (At.OfSlots[I] <= Limit)
        Made.OfSlots[I] += Work / static_cast<double>(Cheap);
  }
  return Made;
}

} // namespace

double idealValue(const Trace &Played, bool KnowsWork) {
  constexpr int Rounds = 400;
  constexpr double MinKindFraction = 0.25;
  const std::size_t Bins = binOf(Played.Source.Seconds + 10) + 1;
  std::vector<double> Room(Bins);
  for (std::size_t I = 0; I < Bins; ++I)
    Room[I] = Played.slotsAt(static_cast<double>(I) * Bin) * Bin;
  std::array<double, KindCount> Offered{};
  for (const Request &Each : Played.Requests)
    Offered[Each.Kind] += 1;
  const auto All = static_cast<double>(Played.Requests.size());
  // A served request helps its kind's fraction and raises what all need.
  const auto UseAt = [&](const Prices &At, double Known) {
    std::array<double, KindCount> Bonus{};
    for (std::size_t K = 0; K < KindCount; ++K) {
      Bonus[K] += At.OfKinds[K] / Offered[K];
      for (double &Of : Bonus)
        Of -= At.OfKinds[K] * MinKindFraction / All;
    }
    return bestUse(Played, At, Bonus, Known);
  };
  Prices At{std::vector<double>(Bins, 0.0)};
  Prices Mean = At;
  for (int Round = 1; Round <= Rounds; ++Round) {
    // Equal requests would all choose the same bins; the search needs spread.
    const Use Made = UseAt(At, KnowsWork ? 1 : 0.2);
    const double Move = 10.0 / (10.0 + Round);
    for (std::size_t I = 0; I < Bins; ++I)
      At.OfSlots[I] = std::max(
          0.0, At.OfSlots[I] + Move * (Made.OfSlots[I] - Room[I]) / Room[I]);
    double Served = 0;
    for (const double Of : Made.Served)
      Served += Of / All;
    for (std::size_t K = 0; K < KindCount; ++K)
      At.OfKinds[K] =
          std::max(0.0, At.OfKinds[K] + Move * All *
                                            (MinKindFraction * Served -
                                             Made.Served[K] / Offered[K]));
    if (Round <= Rounds / 2)
      continue;
    for (std::size_t I = 0; I < Bins; ++I)
      Mean.OfSlots[I] += At.OfSlots[I] / (Rounds / 2);
    for (std::size_t K = 0; K < KindCount; ++K)
      Mean.OfKinds[K] += At.OfKinds[K] / (Rounds / 2);
  }
  double Offers = 0;
  for (const Request &Each : Played.Requests)
    Offers += Played.Source.Requests[Each.Kind].Value;
  double Bound = UseAt(Mean, KnowsWork ? 1 : 0).Gain;
  for (std::size_t I = 0; I < Bins; ++I)
    Bound += Mean.OfSlots[I] * Room[I];
  return std::min(Bound, Offers);
}

Summary summarize(const Trace &Played, const std::vector<Request> &Served) {
  struct Part {
    double Offered = 0, Value = 0;
    double Requests = 0, ServedRequests = 0;
    void add(const Request &Each, const Kind &Type) {
      this->Offered += Type.Value;
      this->Value += Each.Value;
      this->Requests += 1;
      this->ServedRequests += Each.Value > 0 ? 1 : 0;
    }
    [[nodiscard]] double served() const {
      return this->ServedRequests / this->Requests;
    }
  };
  Part All;
  std::map<std::size_t, Part> ByKind, ByAccount, BySecond;
  std::vector<double> Waits;
  for (const Request &Each : Served) {
    if (Each.Value <= 0)
      Waits.push_back(Each.Waited);
    const auto &Type = Played.Source.Requests[Each.Kind];
    for (Part *Of : {&All, &ByKind[Each.Kind], &ByAccount[Each.Account],
                     &BySecond[static_cast<std::size_t>(Each.Arrived)]})
      Of->add(Each, Type);
  }
  Summary Made;
  Made.Value = All.Value;
  std::sort(Waits.begin(), Waits.end());
  if (!Waits.empty())
    Made.RejectionTime = Waits[Waits.size() * 9 / 10];
  Made.WorstAccount = Made.WorstKind = Made.WorstSecond = 1e9;
  for (const auto &[K, Of] : ByKind) {
    Made.ByKind[K] = Of.Value / Of.Offered;
    Made.WorstKind = std::min(Made.WorstKind, Of.served() / All.served());
  }
  for (const auto &[A, Of] : ByAccount)
    if (Of.Requests >= 50)
      Made.WorstAccount =
          std::min(Made.WorstAccount, Of.served() / All.served());
  for (const auto &[S, Of] : BySecond)
    Made.WorstSecond = std::min(Made.WorstSecond, Of.Value / Of.Offered);
  return Made;
}

} // namespace siskinstage::wait_replay
