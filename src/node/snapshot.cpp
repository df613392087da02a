#include "node/snapshot.h"

namespace siskinstage {

std::uint32_t slotsOf(const ServiceView &Service, const TargetView &Target) {
  const std::uint32_t Own = Target.Spec.Capacity.Value;
  return Own > 0 ? Own : Service.Record.SlotsPerTarget.Value;
}

std::shared_ptr<const ServiceView>
Snapshot::service(const ServiceName &Name) const {
  const auto *Found = this->ServiceViews.find(Name);
  return Found == nullptr ? nullptr : *Found;
}

} // namespace siskinstage
