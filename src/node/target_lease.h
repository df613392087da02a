#ifndef SISKINSTAGE_NODE_TARGET_LEASE_H
#define SISKINSTAGE_NODE_TARGET_LEASE_H

#include "node/snapshot.h"

#include <memory>

namespace siskinstage {

class ServiceGate;

/// What was known of a target when a request was placed there.
struct Placement {
  Instant At;
  Duration Idle{}; ///< Since this node's request before it.
  double GrayProbability = 0;
};

/// One slot of one target, held while a request is there.
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
  /// Gives the slot back early.
  void release();

private:
  std::shared_ptr<ServiceGate> Gate; ///< Null once released.
  TargetView Target;
  Placement Placed;
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_TARGET_LEASE_H
