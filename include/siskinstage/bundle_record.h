#ifndef SISKINSTAGE_BUNDLE_RECORD_H
#define SISKINSTAGE_BUNDLE_RECORD_H

#include "siskinstage/route_record.h"
#include "siskinstage/service_record.h"

#include <vector>

namespace siskinstage {

/// Routes and services that take effect together. A newer bundle of the same
/// name replaces the whole of the older one.
struct BundleRecord {
  std::vector<RouteRecord> Routes;
  std::vector<ServiceRecord> Services;
};

} // namespace siskinstage

#endif // SISKINSTAGE_BUNDLE_RECORD_H
