#ifndef SISKINSTAGE_NODE_TARGET_LEASE_H
#define SISKINSTAGE_NODE_TARGET_LEASE_H

#include "node/snapshot.h"

#include <memory>

namespace siskinstage {

class ServiceGate;

/// One slot of one target, held while a request is there.
class TargetLease {
public:
  TargetLease() = default;
  TargetLease(std::shared_ptr<ServiceGate> Gate, TargetView Target,
              Instant Placed);
  TargetLease(TargetLease &&Other) noexcept;
  TargetLease &operator=(TargetLease &&Other) noexcept;
  TargetLease(const TargetLease &) = delete;
  TargetLease &operator=(const TargetLease &) = delete;
  ~TargetLease();

  [[nodiscard]] const TargetView &target() const { return this->Target; }
  /// Gives the slot back early.
  void release();

private:
  std::shared_ptr<ServiceGate> Gate; ///< Null once released.
  TargetView Target;
  Instant Placed;
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_TARGET_LEASE_H
