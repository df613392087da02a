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

/// The newest schema version; older records are upgraded to it in memory.
inline constexpr int NewestSchema = 2;

enum class RecordKind { Service, Route, Account, Fleet, Target, Bundle };

/// Name of \p Kind as records write it.
const char *recordKindName(RecordKind Kind);

/// Marks a record as deleted; its revision keeps older copies from returning.
struct Tombstone {};

using RecordBody =
    std::variant<Tombstone, ServiceRecord, RouteRecord, AccountRecord,
                 FleetRecord, TargetRecord, BundleRecord>;

/// Kind and name, by which one record is told from another.
struct RecordKey {
  RecordKind Kind = RecordKind::Service;
  std::string Name;
  auto operator<=>(const RecordKey &) const = default;
  /// "kind/name".
  [[nodiscard]] std::string text() const;
};

/// One accepted record of the configuration, in the newest schema.
struct Record {
  RecordKey Key;
  Revision Rev;
  RecordBody Body;
  /// The record as it was written, in its own schema.
  std::shared_ptr<const std::string> Text;
};

} // namespace siskinstage

#endif // SISKINSTAGE_RECORD_H
