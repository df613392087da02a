#ifndef SISKINSTAGE_NODE_DRAIN_STATE_H
#define SISKINSTAGE_NODE_DRAIN_STATE_H

#include "core/requests/drain_schedule.h"
#include "node/pipe_wakeup.h"

#include <atomic>

namespace siskinstage {

/// Whether the node is draining for a planned stop. Thread-safe.
class DrainState {
public:
  /// Starts the drain; called once.
  /// \param Limit time until the process exits.
  void begin(Instant Now, Duration Limit) {
    this->Schedule = DrainSchedule::starting(Now, Limit);
    this->Active.store(true);
  }
  [[nodiscard]] bool active() const { return this->Active.load(); }
  /// See DrainSchedule::sendLimit(); \p Deadline while not draining.
  [[nodiscard]] Instant sendLimit(Instant Deadline) const {
    return this->active() ? this->Schedule.sendLimit(Deadline) : Deadline;
  }

  /// See DrainSchedule::waitLimit(); \p Deadline while not draining.
  [[nodiscard]] Instant waitLimit(Instant Deadline) const {
    return this->active() ? this->Schedule.waitLimit(Deadline) : Deadline;
  }
  /// Valid once the drain has started.
  [[nodiscard]] const DrainSchedule &schedule() const { return this->Schedule; }
  /// Ends the waits for targets, at DrainSchedule::LastAnswer.
  void endWaits() const { this->WaitsEnd.notify(); }
  /// Becomes readable, and stays so, when the waits for targets are to end; see
  /// TcpConnection::endWaitsBy().
  [[nodiscard]] int waitsEnd() const { return this->WaitsEnd.descriptor(); }

private:
  /// Written before Active is set, only read afterwards.
  DrainSchedule Schedule;
  std::atomic<bool> Active{false};
  PipeWakeup WaitsEnd; ///< Never cleared.
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_DRAIN_STATE_H
