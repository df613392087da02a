#ifndef SISKINSTAGE_TESTS_STANDIN_TARGET_BEHAVIOUR_H
#define SISKINSTAGE_TESTS_STANDIN_TARGET_BEHAVIOUR_H

#include "standin/control_server.h"

#include <atomic>

namespace siskinstage::standin {

/// How one target stand-in behaves. Shares are from 0 to 1.
struct TargetBehaviour {
  std::atomic<double> FailShare{0};   ///< Answered with 500.
  std::atomic<double> SilentShare{0}; ///< Run, but never answered.
  std::atomic<double> SlowFactor{1};  ///< Times the stated cost.
  std::atomic<double> ShedShare{0};   ///< Refused although slots are free.
  std::atomic<double> CrashBefore{0}; ///< Crash before the work.
  std::atomic<double> CrashDuring{0}; ///< Crash in the middle of it.
  std::atomic<double> CrashAfter{0};  ///< Crash before the answer.
  std::atomic<double> CutShare{0};    ///< Answer cut in the middle.
  std::atomic<double> WrongId{0};     ///< Answer with another request's id.
  std::atomic<int> DownMs{500};       ///< How long a crash lasts.
  std::atomic<int> ColdMs{0};         ///< Slow for so long after a start.
  std::atomic<bool> Leaving{false};
  std::atomic<bool> HealthFails{false};
  std::atomic<bool> LoadLies{false}; ///< Reports no work in flight.

  /// Takes over the parameters that \p Asked names.
  void set(const ControlRequest &Asked);
};

} // namespace siskinstage::standin

#endif // SISKINSTAGE_TESTS_STANDIN_TARGET_BEHAVIOUR_H
