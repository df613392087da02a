#ifndef SISKINSTAGE_CORE_FLEET_GOSSIP_SEAL_H
#define SISKINSTAGE_CORE_FLEET_GOSSIP_SEAL_H

#include "core/fleet/key_ring.h"
#include "siskinstage/error.h"
#include "siskinstage/units.h"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace siskinstage {

/// Signs the datagrams between nodes and rejects forged and replayed ones. A
/// datagram is a header line "process counter time mac" and the payload. Not
/// thread-safe.
class GossipSeal {
public:
  /// \param Ring must outlive the seal.
  GossipSeal(const KeyRing &Ring, Incarnation Process);

  /// Signs \p Payload.
  /// \param WallClock milliseconds since 1970 at this node.
  std::string seal(const std::string &Payload, std::uint64_t WallClock);
  /// Checks the signature of \p Datagram, that its time differs from
  /// \p WallClock by at most config::GossipClockTolerance, and that it was not
  /// received before. \returns the payload, or why the datagram is rejected.
  Result<std::string> open(const std::string &Datagram,
                           std::uint64_t WallClock);

private:
  /// The counters received from one sending process.
  struct ReplayWindow {
    std::uint64_t Highest = 0;
    std::uint64_t Received = 0; ///< Bitmap; bit I stands for Highest - I.
  };

  const KeyRing &Ring;
  Incarnation Process;
  std::uint64_t Counter = 0;
  std::unordered_map<std::uint64_t, ReplayWindow> Senders;

  /// Records \p Number. \returns whether it was not received from \p Sender
  /// yet; false also if it is too old for the window.
  bool markReceived(std::uint64_t Sender, std::uint64_t Number);
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_FLEET_GOSSIP_SEAL_H
