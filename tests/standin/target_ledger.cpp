#include "standin/target_ledger.h"

namespace siskinstage::standin {

void TargetLedger::recordRun(const std::string &WorkId,
                             const std::string & /*Target*/) {
  if (WorkId.empty())
    return;
  const std::lock_guard<std::mutex> Guard(this->Lock);
  ++this->Runs[WorkId];
}

std::string TargetLedger::dump() {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  std::string Text = "{";
  for (const auto &[WorkId, Count] : this->Runs)
    Text += (Text.size() > 1 ? ",\"" : "\"") + WorkId +
            "\":" + std::to_string(Count);
  return Text + "}";
}

void TargetLedger::clear() {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  this->Runs.clear();
}

} // namespace siskinstage::standin
