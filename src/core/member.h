#ifndef SISKINSTAGE_CORE_MEMBER_H
#define SISKINSTAGE_CORE_MEMBER_H

#include "siskinstage/strong_id.h"
#include "siskinstage/units.h"

#include <compare>
#include <cstdint>

namespace siskinstage {

/// How a member is believed to be. A higher one overrides a lower one of the
/// same life.
enum class MemberState { Alive, Suspect, Dead, Left };

const char *memberStateName(MemberState State);

/// Number by which a member outdoes older claims about its address: a new
/// process, or one that refutes a suspicion, takes a higher one.
struct MemberVersion {
  std::uint64_t Value = 0;
  auto operator<=>(const MemberVersion &) const = default;
};

/// One member of the fleet, as gossip carries it. Its address tells it apart.
struct Member {
  Address Endpoint; ///< Callers' port over TCP, gossip over UDP.
  NodeId Id;
  FailureDomain Domain;
  Incarnation Process;
  MemberVersion StateVersion;
  MemberState State = MemberState::Alive;
  /// Of a suspicion: who began it or found the same on its own.
  Address SuspectedBy;
  /// What its machine can carry, in thousandths of a processor core; 0 if it is
  /// not known.
  std::uint32_t Capacity = 0;
  bool PlatformUnreachable = false; ///< It can't read the platform now.
  bool operator==(const Member &) const = default;
};

/// Whether a claim \p New about a member overrides what is known as \p Old.
bool overrides(const Member &New, const Member &Old);

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_MEMBER_H
