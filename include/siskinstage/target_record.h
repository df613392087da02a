#ifndef SISKINSTAGE_TARGET_RECORD_H
#define SISKINSTAGE_TARGET_RECORD_H

#include "siskinstage/service_record.h"

namespace siskinstage {

/// A target in a record of its own, in addition to those in the record of its
/// service.
struct TargetRecord {
  ServiceName Service;
  TargetSpec Spec;
  bool operator==(const TargetRecord &) const = default;
};

} // namespace siskinstage

#endif // SISKINSTAGE_TARGET_RECORD_H
