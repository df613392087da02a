#ifndef SISKINSTAGE_CORE_FLEET_MEMBER_H
#define SISKINSTAGE_CORE_FLEET_MEMBER_H

#include "siskinstage/strong_id.h"
#include "siskinstage/units.h"

#include <compare>
#include <cstdint>

namespace siskinstage {

/// State of a member as another member sees it. Of two claims with the same
/// MemberVersion, the one with the higher state overrides the other.
enum class MemberState { Alive, Suspect, Dead, Left };

const char *memberStateName(MemberState State);

/// Whether a member in this state may receive messages and requests.
inline bool isLive(MemberState State) {
  return State == MemberState::Alive || State == MemberState::Suspect;
}

/// Version of the claims about a member, SWIM's incarnation number: a claim
/// with a higher version overrides all older ones about the address. Only the
/// member itself raises it: when its process starts, when it refutes a claim
/// and when it changes PlatformUnreachable.
struct MemberVersion {
  std::uint64_t Value = 0;
  auto operator<=>(const MemberVersion &) const = default;
};

/// One member of the fleet, as gossip carries it, identified by its endpoint.
struct Member {
  /// Address for peers, over TCP and for gossip over UDP; by default also the
  /// address for callers.
  Address Endpoint;
  NodeId Id;
  FailureDomain Domain;
  Incarnation Process;
  MemberVersion StateVersion;
  MemberState State = MemberState::Alive;
  /// In a suspicion, the member that suspects this one on its own, not one that
  /// forwards the claim.
  Address SuspectedBy;
  /// Thousandths of a processor core; 0 if not known.
  std::uint32_t Capacity = 0;
  /// The member can't read the platform, or could not a moment ago.
  bool PlatformUnreachable = false;
  bool operator==(const Member &) const = default;
};

/// Whether the claim \p New about a member overrides the known state \p Old.
bool overrides(const Member &New, const Member &Old);

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_FLEET_MEMBER_H
