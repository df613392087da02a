#ifndef SISKINSTAGE_NODE_REQUESTS_QUARANTINE_GATE_H
#define SISKINSTAGE_NODE_REQUESTS_QUARANTINE_GATE_H

#include "core/requests/quarantine.h"

#include <mutex>

namespace siskinstage {

/// The node's quarantine, protected by a lock. See Quarantine.
class QuarantineGate {
public:
  bool addCrash(RequestFingerprint Fingerprint, const TargetId &Target,
                Instant Now) {
    const std::lock_guard<std::mutex> Guard(this->Lock);
    return this->Table.addCrash(Fingerprint, Target, Now);
  }
  void addResponse(RequestFingerprint Fingerprint, Instant Now) {
    const std::lock_guard<std::mutex> Guard(this->Lock);
    this->Table.addResponse(Fingerprint, Now);
  }
  bool isQuarantined(RequestFingerprint Fingerprint, Instant Now) {
    const std::lock_guard<std::mutex> Guard(this->Lock);
    return this->Table.size() > 0 &&
           this->Table.isQuarantined(Fingerprint, Now);
  }

private:
  std::mutex Lock;
  Quarantine Table;
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_REQUESTS_QUARANTINE_GATE_H
