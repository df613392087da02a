#include "node/snapshot.h"

namespace siskinstage {

std::shared_ptr<const ServiceView>
Snapshot::service(const ServiceName &Name) const {
  const auto *Found = this->ServiceViews.find(Name);
  return Found == nullptr ? nullptr : *Found;
}

} // namespace siskinstage
