#include "core/quarantine.h"
#include "siskinstage/config.h"

#include <iterator>
#include <utility>

namespace siskinstage {

bool Quarantine::addCrash(RequestFingerprint Print, const TargetId &Target,
                          Instant Now) {
  if (this->isInnocent(Print))
    return false;
  if (this->Suspects.size() >= config::MaxSuspectRequests)
    this->forgetOld(Now);
  if (this->Suspects.size() >= config::MaxSuspectRequests)
    return false;
  Suspect &Found = this->Suspects[Print.Value];
  Found.LastCrash = Now;
  return Found.Targets.insert(Target).second;
}

bool Quarantine::isInnocent(RequestFingerprint Print) const {
  return this->Innocent.count(Print.Value) > 0 ||
         this->InnocentBefore.count(Print.Value) > 0;
}

void Quarantine::addResponse(RequestFingerprint Print, Instant Now) {
  this->Suspects.erase(Print.Value);
  const bool Old = Now - this->GenerationSince >= config::AnsweredRetention;
  if (Old || this->Innocent.size() >= config::MaxAnsweredRequests) {
    std::swap(this->Innocent, this->InnocentBefore);
    this->Innocent.clear();
    this->GenerationSince = Now;
  }
  this->Innocent.insert(Print.Value);
}

bool Quarantine::isQuarantined(RequestFingerprint Print, Instant Now) const {
  const auto Found = this->Suspects.find(Print.Value);
  return Found != this->Suspects.end() &&
         Found->second.Targets.size() >= config::CrashedTargetsToQuarantine &&
         Now - Found->second.LastCrash < config::QuarantineTime;
}

void Quarantine::forgetOld(Instant Now) {
  for (auto At = this->Suspects.begin(); At != this->Suspects.end();)
    At = Now - At->second.LastCrash >= config::QuarantineTime
             ? this->Suspects.erase(At)
             : std::next(At);
}

} // namespace siskinstage
