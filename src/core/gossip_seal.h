#ifndef SISKINSTAGE_CORE_GOSSIP_SEAL_H
#define SISKINSTAGE_CORE_GOSSIP_SEAL_H

#include "core/key_ring.h"
#include "siskinstage/error.h"
#include "siskinstage/units.h"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace siskinstage {

/// Signs datagrams between nodes and refuses forged and repeated ones. A
/// datagram is one line "process counter time mac" and the payload.
class GossipSeal {
public:
  GossipSeal(const KeyRing &Ring, Incarnation Process);

  /// \param WallClock milliseconds since 1970 at the sender.
  std::string seal(const std::string &Payload, std::uint64_t WallClock);
  /// \returns the payload, or why the datagram is refused.
  Result<std::string> open(const std::string &Datagram,
                           std::uint64_t WallClock);

private:
  /// The counters seen of one sending process.
  struct Window {
    std::uint64_t Highest = 0;
    std::uint64_t Seen = 0; ///< Bit I stands for Highest - I.
  };

  const KeyRing &Ring;
  Incarnation Process;
  std::uint64_t Counter = 0;
  std::unordered_map<std::uint64_t, Window> Senders;

  bool isFresh(std::uint64_t Sender, std::uint64_t Number);
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_GOSSIP_SEAL_H
