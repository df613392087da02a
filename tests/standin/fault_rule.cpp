#include "standin/fault_rule.h"

namespace siskinstage::standin {

void FaultRule::set(const ControlRequest &Asked, std::uint64_t NextConnection) {
  this->DelayMs = static_cast<int>(Asked.number("delay_ms", this->DelayMs));
  this->DropShare = Asked.number("drop", this->DropShare);
  this->ReorderShare = Asked.number("reorder", this->ReorderShare);
  this->Cut = Asked.number("cut", this->Cut ? 1 : 0) > 0;
  this->TruncateAfter = static_cast<std::int64_t>(Asked.number(
      "truncate", static_cast<double>(this->TruncateAfter.load())));
  if (Asked.number("silence", 0) > 0)
    this->SilentBefore = NextConnection;
}

} // namespace siskinstage::standin
