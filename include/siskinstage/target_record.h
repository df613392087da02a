#ifndef SISKINSTAGE_TARGET_RECORD_H
#define SISKINSTAGE_TARGET_RECORD_H

#include "siskinstage/service_record.h"

namespace siskinstage {

/// One target of a service as a record of its own, beside those that the
/// service's record lists.
struct TargetRecord {
  ServiceName Service;
  TargetSpec Spec;
};

} // namespace siskinstage

#endif // SISKINSTAGE_TARGET_RECORD_H
