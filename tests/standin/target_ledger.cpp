#include "standin/target_ledger.h"

namespace siskinstage::standin {

void TargetLedger::begin(const std::string &Work,
                         const std::string & /*Target*/) {
  if (Work.empty())
    return;
  const std::lock_guard<std::mutex> Guard(this->Lock);
  ++this->Runs[Work];
}

std::string TargetLedger::dump() {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  std::string Text = "{";
  for (const auto &[Work, Count] : this->Runs)
    Text +=
        (Text.size() > 1 ? ",\"" : "\"") + Work + "\":" + std::to_string(Count);
  return Text + "}";
}

void TargetLedger::clear() {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  this->Runs.clear();
}

} // namespace siskinstage::standin
