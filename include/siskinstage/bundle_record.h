#ifndef SISKINSTAGE_BUNDLE_RECORD_H
#define SISKINSTAGE_BUNDLE_RECORD_H

#include "siskinstage/route_record.h"
#include "siskinstage/service_record.h"

#include <memory>
#include <vector>

namespace siskinstage {

class AccountDirectory;

/// Routes, services and client accounts that take effect together. A newer
/// bundle of the same name replaces the whole of the older one.
struct BundleRecord {
  std::vector<RouteRecord> Routes;
  std::vector<ServiceRecord> Services;
  /// Null if the bundle lists no accounts.
  std::shared_ptr<const AccountDirectory> Accounts;
};

} // namespace siskinstage

#endif // SISKINSTAGE_BUNDLE_RECORD_H
