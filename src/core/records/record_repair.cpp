#include "core/records/record_repair.h"
#include "siskinstage/config.h"

namespace siskinstage {

RecordRepair::Actions RecordRepair::onDigest(bool Differs, Instant Now) {
  const Actions Chosen = {Differs && Now >= this->NextRequest,
                          Differs && Now >= this->NextComparison};
  if (Chosen.Request)
    this->NextRequest = Now + config::RecordRequestPeriod;
  if (Chosen.Compare)
    this->NextComparison = Now + config::RecordSyncPeriod;
  return Chosen;
}

} // namespace siskinstage
