#include "node/targets/slot_wait.h"
#include "node/targets/service_gate.h"

namespace siskinstage {

SlotWait::~SlotWait() {
  if (this->Gate)
    this->Gate->withdraw(*this->Waiting);
}

std::optional<SlotWait::Result> SlotWait::take() {
  return this->Gate->takeDecision(*this->Waiting);
}

} // namespace siskinstage
