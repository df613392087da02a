#include "core/records/record_repair.h"
#include "siskinstage/config.h"

namespace siskinstage {

RecordRepair::Action RecordRepair::onDigest(bool Differs, Instant Now) {
  if (!Differs) {
    this->Differing = false;
    return Action::None;
  }
  if (!this->Differing) {
    this->Differing = true;
    this->DifferingSince = Now;
  }
  if (Now - this->DifferingSince >= config::RecordCompareDelay &&
      Now >= this->NextComparison) {
    this->NextComparison = Now + config::RecordSyncPeriod;
    return Action::Compare;
  }
  if (Now < this->NextRequest)
    return Action::None;
  this->NextRequest = Now + config::RecordRequestPeriod;
  return Action::Request;
}

} // namespace siskinstage
