#ifndef SISKINSTAGE_TESTS_STANDIN_TARGET_BEHAVIOUR_H
#define SISKINSTAGE_TESTS_STANDIN_TARGET_BEHAVIOUR_H

#include "standin/control_server.h"

#include <atomic>

namespace siskinstage::standin {

/// Simulated behaviour of one target stand-in. Probabilities, from 0 to 1,
/// apply to each request for work.
struct TargetBehaviour {
  std::atomic<double> FailProbability{0}; ///< Response has status 500.
  std::atomic<double> HangProbability{0}; ///< Runs, but sends no response.
  std::atomic<double> SlowFactor{1};      ///< Multiplies the requested cost.
  std::atomic<double> ShedProbability{0}; ///< Sheds although slots are free.
  std::atomic<double> CrashBeforeProbability{0}; ///< Crash before the run.
  std::atomic<double> CrashDuringProbability{0}; ///< Crash during the run.
  std::atomic<double> CrashAfterProbability{0};  ///< Crash before the response.
  std::atomic<double> TruncateProbability{0}; ///< Closes after half the body.
  std::atomic<double> WrongIdProbability{0};  ///< Response has a wrong id.
  std::atomic<int> DownMs{500};     ///< Time from a crash to the restart.
  std::atomic<int> ColdMs{0};       ///< Time after a start with higher costs.
  std::atomic<bool> Leaving{false}; ///< Announces that the target drains.
  /// Requests per second that it states to accept; 0 states no limit.
  std::atomic<double> RateLimit{0};
  /// Retry-After of a shed request in seconds; 0 for none.
  std::atomic<double> RetryAfter{0};
  std::atomic<bool> FailHealthChecks{false}; ///< Status 500 for health checks.
  std::atomic<bool> ReportZeroLoad{false};   ///< Reports no requests in flight.

  /// Sets the values that \p Request names.
  void update(const ControlRequest &Request);
};

} // namespace siskinstage::standin

#endif // SISKINSTAGE_TESTS_STANDIN_TARGET_BEHAVIOUR_H
