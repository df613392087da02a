#ifndef SISKINSTAGE_NODE_TARGETS_GATE_REJECTION_H
#define SISKINSTAGE_NODE_TARGETS_GATE_REJECTION_H

#include "siskinstage/error.h"
#include "siskinstage/units.h"

#include <optional>
#include <string>

namespace siskinstage {

/// A request that got no target from a ServiceGate.
struct GateRejection {
  enum class Refusal {
    NoTarget,   ///< No admitted target is left untried.
    QueueFull,  ///< Too many requests are waiting, or too many bytes.
    TooLate,    ///< No slot is free, or expected to be, before the deadline.
    Displaced,  ///< Its place went to a request whose loss costs callers more.
    Restricted, ///< What the targets state leaves no room in time.
    NoService,  ///< The service is no longer configured.
    Draining,   ///< The node exits before the request would end.
  };

  Refusal Reason = Refusal::NoTarget;
  /// Time until there may be room, if it is known.
  std::optional<Duration> RetryAfter;
  bool operator==(Refusal Other) const { return this->Reason == Other; }
};

/// What callers and the log are told.
Error refusalCause(GateRejection::Refusal Reason, const std::string &Service);
/// Name for metrics.
const char *refusalName(GateRejection::Refusal Reason);

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_TARGETS_GATE_REJECTION_H
