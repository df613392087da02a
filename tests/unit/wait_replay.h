#ifndef SISKINSTAGE_TESTS_UNIT_WAIT_REPLAY_H
#define SISKINSTAGE_TESTS_UNIT_WAIT_REPLAY_H

#include "core/random.h"
#include "core/requests/wait_queue.h"

#include <array>
#include <vector>

namespace siskinstage::wait_replay {

/// A kind of request, as deployment A of docs/accounts-and-load.md states it.
struct Kind {
  double PerSecond;
  double Work;      ///< Mean time at a target, in seconds.
  double Objective; ///< In seconds.
  double Deadline;  ///< In seconds, at most the timeout of the route.
  double Value, LateValue;
};
constexpr std::size_t KindCount = 3; ///< The index is the priority.
using Kinds = std::array<Kind, KindCount>;
extern const Kinds DeploymentA;

enum class Disturbance {
  None,
  KindBursts,   ///< Each 10 s one kind has 4 times its rate for 3 s.
  LargeAccount, ///< Two accounts have 10 and 6 times their rate for 20 s.
  Retries,      ///< Rejected requests return after 50 ms, up to 4 times.
  SlotsGone,    ///< A third of the slots is missing for 20 s.
};

struct Scenario {
  Disturbance Kind = Disturbance::None;
  double Load = 1; ///< Mean of the offered work relative to all slots.
  std::uint64_t Seed = 1;
  Kinds Requests = DeploymentA;
  std::uint32_t Slots = 48;
  int Accounts = 79; ///< Their rates are Zipf distributed, exponent 1.2.
  int Seconds = 60;
};

struct Request {
  std::size_t Kind = 0;
  std::size_t Account = 0;
  double Arrived = 0; ///< In seconds from the start, as all other times here.
  double Work = 0;    ///< Actual time at a target.
  double Value = 0;   ///< That it has had for its caller.
  double Waited = 0;  ///< Until its last rejection, if any.
};

struct Trace {
  Scenario Source;
  std::vector<Request> Requests; ///< By time of arrival.

  static Trace make(const Scenario &Source);
  [[nodiscard]] std::uint32_t slotsAt(double Time) const;
};

/// Plays the trace through a queue. \returns the requests with their values.
std::vector<Request> play(const Trace &Played, WaitQueue::OrderKind Order);

/// An upper bound of the value of any schedule, also one that knows all future
/// arrivals, work and prices, and that serves of each kind at least a quarter
/// of the overall served fraction: the Lagrange dual of a relaxation in which
/// work can be divided at will, over slots and time. Weak duality makes it a
/// bound for any prices of the limits; the loop only looks for good ones.
/// \param KnowsWork whether the schedule knows the time that each request will
/// take, or only the mean of its kind, which gives the capacity in expectation.
double idealValue(const Trace &Played, bool KnowsWork);

/// Value relative to what was offered.
struct Summary {
  double Value = 0;
  std::array<double, KindCount> ByKind{}; ///< Fraction of the offered value.
  /// Lowest fraction of requests served of an account with at least 50
  /// requests, relative to that of all requests.
  double WorstAccount = 0;
  double WorstKind = 0;   ///< The same among kinds.
  double WorstSecond = 0; ///< Lowest fraction of value by arrival.
  /// Time after which nine of ten rejected requests are told, in seconds.
  double RejectionTime = 0;
};
Summary summarize(const Trace &Played, const std::vector<Request> &Served);

} // namespace siskinstage::wait_replay

#endif // SISKINSTAGE_TESTS_UNIT_WAIT_REPLAY_H
