#ifndef SISKINSTAGE_NODE_DRAIN_STATE_H
#define SISKINSTAGE_NODE_DRAIN_STATE_H

#include "core/requests/drain_schedule.h"

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

private:
  /// Written before Active is set, only read afterwards.
  DrainSchedule Schedule;
  std::atomic<bool> Active{false};
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_DRAIN_STATE_H
