#include "standin/fault_rule.h"

namespace siskinstage::standin {

void FaultRule::update(const ControlRequest &Request,
                       std::uint64_t NextConnection) {
  this->DelayMs = static_cast<int>(Request.number("delay_ms", this->DelayMs));
  this->DropProbability = Request.number("drop", this->DropProbability);
  this->ReorderProbability =
      Request.number("reorder", this->ReorderProbability);
  this->Blocked = Request.number("cut", this->Blocked ? 1 : 0) > 0;
  this->TruncateAfterBytes = static_cast<std::int64_t>(Request.number(
      "truncate", static_cast<double>(this->TruncateAfterBytes.load())));
  if (Request.number("silence", 0) > 0)
    this->SilencedBelow = NextConnection;
}

} // namespace siskinstage::standin
