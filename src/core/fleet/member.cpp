#include "core/fleet/member.h"

namespace siskinstage {

const char *memberStateName(MemberState State) {
  switch (State) {
  case MemberState::Alive:
    return "alive";
  case MemberState::Suspect:
    return "suspect";
  case MemberState::Dead:
    return "dead";
  case MemberState::Left:
    return "left";
  }
  return "unknown-state";
}

bool overrides(const Member &New, const Member &Old) {
  if (New.StateVersion != Old.StateVersion)
    return New.StateVersion > Old.StateVersion;
  if (New.State != Old.State)
    return New.State > Old.State;
  // Two processes with the same version and state: all members have to keep the
  // same one.
  return New.Process > Old.Process;
}

} // namespace siskinstage
