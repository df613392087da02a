#ifndef SISKINSTAGE_NODE_QUARANTINE_GATE_H
#define SISKINSTAGE_NODE_QUARANTINE_GATE_H

#include "core/quarantine.h"

#include <mutex>

namespace siskinstage {

/// The node's quarantine behind a lock.
class QuarantineGate {
public:
  bool addCrash(RequestFingerprint Print, const TargetId &Target, Instant Now) {
    const std::lock_guard<std::mutex> Guard(this->Lock);
    return this->Table.addCrash(Print, Target, Now);
  }
  void addResponse(RequestFingerprint Print, Instant Now) {
    const std::lock_guard<std::mutex> Guard(this->Lock);
    this->Table.addResponse(Print, Now);
  }
  bool isQuarantined(RequestFingerprint Print, Instant Now) {
    const std::lock_guard<std::mutex> Guard(this->Lock);
    return this->Table.size() > 0 && this->Table.isQuarantined(Print, Now);
  }

private:
  std::mutex Lock;
  Quarantine Table;
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_QUARANTINE_GATE_H
