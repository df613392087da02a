#include "core/requests/quarantine.h"
#include "siskinstage/config.h"

#include <iterator>
#include <utility>

namespace siskinstage {

bool Quarantine::addCrash(RequestFingerprint Fingerprint,
                          const TargetId &Target, Instant Now) {
  if (this->hasRecentResponse(Fingerprint))
    return false;
  if (this->Suspects.size() >= config::MaxSuspectRequests)
    this->removeExpired(Now);
  if (this->Suspects.size() >= config::MaxSuspectRequests)
    return false;
  Suspect &Found = this->Suspects[Fingerprint.Value];
  Found.LastCrash = Now;
  return Found.Targets.insert(Target).second;
}

bool Quarantine::hasRecentResponse(RequestFingerprint Fingerprint) const {
  return this->RecentResponses.count(Fingerprint.Value) > 0 ||
         this->OlderResponses.count(Fingerprint.Value) > 0;
}

void Quarantine::addResponse(RequestFingerprint Fingerprint, Instant Now) {
  this->Suspects.erase(Fingerprint.Value);
  const bool Old = Now - this->GenerationStart >= config::RecentResponseTime;
  if (Old || this->RecentResponses.size() >= config::MaxRecentResponses) {
    std::swap(this->RecentResponses, this->OlderResponses);
    this->RecentResponses.clear();
    this->GenerationStart = Now;
  }
  this->RecentResponses.insert(Fingerprint.Value);
}

bool Quarantine::isQuarantined(RequestFingerprint Fingerprint,
                               Instant Now) const {
  const auto Found = this->Suspects.find(Fingerprint.Value);
  return Found != this->Suspects.end() &&
         Found->second.Targets.size() >= config::CrashedTargetsToQuarantine &&
         Now - Found->second.LastCrash < config::QuarantineTime;
}

void Quarantine::removeExpired(Instant Now) {
  for (auto It = this->Suspects.begin(); It != this->Suspects.end();)
    It = Now - It->second.LastCrash >= config::QuarantineTime
             ? this->Suspects.erase(It)
             : std::next(It);
}

} // namespace siskinstage
