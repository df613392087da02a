#ifndef SISKINSTAGE_CORE_TARGETS_TARGET_ROOM_H
#define SISKINSTAGE_CORE_TARGETS_TARGET_ROOM_H

#include "core/requests/waiting_request.h"
#include "siskinstage/units.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace siskinstage {

/// What an admitted target leaves to the requests of this node.
struct TargetRoom {
  double Slots = 0;           ///< Requests that it runs concurrently.
  std::uint32_t InFlight = 0; ///< Requests of this node there.
  Duration BackOffLeft{};     ///< Remaining time to be left alone.
  bool Limited = false;       ///< It states a rate limit.
  double SharePerSecond = 0;  ///< This node's share of the limit, requests/s.
  bool MayReceive = true;     ///< What it states allows a request now.
};

/// Estimates of the capacity of a service, for the load where targets limit
/// their rate or want to be left alone.

/// Slots that this node can use over all targets: with a rate limit, as many as
/// this node's share keeps in use.
/// \param Median median latency; zero if not known.
Room roomOf(const std::vector<TargetRoom> &Targets, Duration Median);

/// Time until what the targets state allows a request with \p Ahead requests
/// before it, if that is longer than it may wait.
/// \param Longest how long the request may wait.
std::optional<Duration> restrictedWait(const std::vector<TargetRoom> &Targets,
                                       std::size_t Ahead, Duration Longest);

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_TARGETS_TARGET_ROOM_H
