#include "node/targets/target_lease.h"
#include "node/targets/service_gate.h"
#include "node/targets/target_gauge.h"

#include <utility>

namespace siskinstage {

TargetLease::TargetLease(std::shared_ptr<ServiceGate> Gate, TargetView Target,
                         Placement Placed)
    : Gate(std::move(Gate)), Target(std::move(Target)), Placed(Placed) {}

TargetLease::TargetLease(TargetLease &&Other) noexcept
    : Gate(std::move(Other.Gate)), Target(std::move(Other.Target)),
      Placed(Other.Placed) {
  Other.Gate.reset();
}

TargetLease &TargetLease::operator=(TargetLease &&Other) noexcept {
  if (this == &Other)
    return *this;
  this->release();
  this->Gate = std::move(Other.Gate);
  this->Target = std::move(Other.Target);
  this->Placed = Other.Placed;
  Other.Gate.reset();
  return *this;
}

TargetLease::~TargetLease() { this->release(); }

void TargetLease::release() {
  if (!this->Gate)
    return;
  this->Target.Gauge->InFlight.fetch_sub(1);
  this->Gate->release(*this->Target.Gauge, this->Placed.At);
  this->Gate.reset();
}

} // namespace siskinstage
