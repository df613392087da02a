#ifndef SISKINSTAGE_NODE_FLEET_PEER_SIGNATURE_H
#define SISKINSTAGE_NODE_FLEET_PEER_SIGNATURE_H

#include "core/callers/http_refusal.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace Poco::Net {
class HTTPRequest;
} // namespace Poco::Net

namespace siskinstage {

class KeyRing;

/// Bytes of the signatures of requests between nodes and their responses.
inline constexpr std::size_t PeerMacBytes = 16;

/// Signs \p Head, a request to another node.
/// \param Context tells the kinds of signed messages apart.
/// \param Covered what the signature covers besides the time.
/// \param WallClock milliseconds since 1970 at this node.
/// \returns the signature in hexadecimal digits, which is also in the head.
std::string signPeerRequest(Poco::Net::HTTPRequest &Head, const KeyRing &Ring,
                            std::string_view Context, std::string_view Covered,
                            std::uint64_t WallClock);

/// Checks that a node of this fleet signed \p Head, and that its time differs
/// from \p WallClock by at most config::GossipClockTolerance.
/// \returns the signature in hexadecimal digits, or a fault with status 403.
HttpResult<std::string> verifyPeerRequest(const Poco::Net::HTTPRequest &Head,
                                          const KeyRing &Ring,
                                          std::string_view Context,
                                          std::string_view Covered,
                                          std::uint64_t WallClock);

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_FLEET_PEER_SIGNATURE_H
