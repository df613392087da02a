#ifndef SISKINSTAGE_RECORD_H
#define SISKINSTAGE_RECORD_H

#include "siskinstage/account_record.h"
#include "siskinstage/bundle_record.h"
#include "siskinstage/fleet_record.h"
#include "siskinstage/route_record.h"
#include "siskinstage/service_record.h"
#include "siskinstage/target_record.h"
#include "siskinstage/units.h"

#include <memory>
#include <string>
#include <variant>

namespace siskinstage {

/// The newest schema version; records of an older one are upgraded to it in
/// memory.
inline constexpr int NewestSchema = 2;

enum class RecordKind { Service, Route, Account, Fleet, Target, Bundle };

/// Name of \p Kind in the field "kind" of a record.
const char *recordKindName(RecordKind Kind);

/// Body of a deleted record. Its revision is kept, so that an older copy can't
/// restore the record.
struct Tombstone {};

using RecordBody =
    std::variant<Tombstone, ServiceRecord, RouteRecord, AccountRecord,
                 FleetRecord, TargetRecord, BundleRecord>;

/// Kind and name, which identify a record.
struct RecordKey {
  RecordKind Kind = RecordKind::Service;
  std::string Name;
  auto operator<=>(const RecordKey &) const = default;
  /// "kind/name".
  [[nodiscard]] std::string text() const;
};

/// A valid record of the configuration, in the newest schema.
struct Record {
  RecordKey Key;
  Revision Rev;
  RecordBody Body;
  /// The JSON text of the record as received, in its original schema.
  std::shared_ptr<const std::string> Text;
};

} // namespace siskinstage

#endif // SISKINSTAGE_RECORD_H
