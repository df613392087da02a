#ifndef SISKINSTAGE_NODE_TARGETS_TARGET_LEASE_H
#define SISKINSTAGE_NODE_TARGETS_TARGET_LEASE_H

#include "node/snapshot.h"

#include <memory>

namespace siskinstage {

class ServiceGate;

/// State of a target when a request was placed there.
struct Placement {
  Instant At;
  Duration Idle{}; ///< Time since this node's previous request to it.
  double GrayProbability = 0; ///< See gray_estimate.h.
  double TrialUrgency = 0;    ///< Known for suspected targets only.
};

/// One slot of a target, held while a request is in flight there. Released by
/// the destructor.
class TargetLease {
public:
  TargetLease() = default;
  TargetLease(std::shared_ptr<ServiceGate> Gate, TargetView Target,
              Placement Placed);
  TargetLease(TargetLease &&Other) noexcept;
  TargetLease &operator=(TargetLease &&Other) noexcept;
  TargetLease(const TargetLease &) = delete;
  TargetLease &operator=(const TargetLease &) = delete;
  ~TargetLease();

  [[nodiscard]] const TargetView &target() const { return this->Target; }
  [[nodiscard]] const Placement &placed() const { return this->Placed; }
  /// Releases the slot early.
  void release();

private:
  std::shared_ptr<ServiceGate> Gate; ///< Null after the release.
  TargetView Target;
  Placement Placed;
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_TARGETS_TARGET_LEASE_H
