#include "core/records/removal_grace.h"

#include <algorithm>
#include <utility>

namespace siskinstage {

void RemovalGrace::beginReading(Instant Now) {
  this->Failing = false;
  this->ReadingSince = Now;
}

void RemovalGrace::hold(Instant Until) {
  this->End = std::max(this->End, Until);
}

void RemovalGrace::noteFailure(Instant Now) {
  this->Failing = true;
  this->ReadingSince = Now;
  this->prolong(Now + this->Length, Now);
}

void RemovalGrace::noteSuccess(Instant Now) {
  if (!std::exchange(this->Failing, false))
    return;
  this->ReadingSince = Now;
  this->prolong(Now + this->Length, Now);
}

bool RemovalGrace::noteReportedOutage(Instant Now) {
  return this->prolong(this->ReadingSince + this->Length, Now);
}

bool RemovalGrace::noteReturn(Instant Noticed, Instant Now) {
  return this->prolong(Noticed + this->Length, Now);
}

bool RemovalGrace::prolong(Instant Until, Instant Now) {
  const bool Longer = Until > std::max(this->End, Now);
  if (Longer)
    this->End = Until;
  return Longer;
}

} // namespace siskinstage
