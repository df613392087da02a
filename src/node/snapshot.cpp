#include "node/snapshot.h"

namespace siskinstage {

std::uint32_t slotsOf(const ServiceView &Service, const TargetView &Target) {
  const std::uint32_t TargetSlots = Target.Spec.Capacity.Value;
  return TargetSlots > 0 ? TargetSlots : Service.Record.SlotsPerTarget.Value;
}

bool Snapshot::limitsRevocation() const {
  return this->Fleet.RevocationLimit > Millis::zero() &&
         this->AccountsByKey != nullptr && this->ConfigRevision.Value > 0;
}

std::shared_ptr<const ServiceView>
Snapshot::service(const ServiceName &Name) const {
  const auto *Found = this->ServiceViews.find(Name);
  return Found == nullptr ? nullptr : *Found;
}

} // namespace siskinstage
