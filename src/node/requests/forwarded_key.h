#ifndef SISKINSTAGE_NODE_REQUESTS_FORWARDED_KEY_H
#define SISKINSTAGE_NODE_REQUESTS_FORWARDED_KEY_H

#include "siskinstage/key_digest.h"

#include <cstdint>
#include <optional>

namespace Poco::Net {
class HTTPRequest;
} // namespace Poco::Net

namespace siskinstage {

class KeyRing;
struct Dialect;

/// Replaces the API key in \p Head, a request that is forwarded to another
/// node, by its \p Digest. The head is signed, so that a caller that has learnt
/// a digest can't use it as a key. Must follow all other changes of the head.
/// \param Digest nothing if the request has no usable key.
/// \param WallClock milliseconds since 1970 at this node.
void replaceKeyByDigest(Poco::Net::HTTPRequest &Head,
                        const std::optional<KeyDigest> &Digest,
                        const Dialect &HeaderDialect, const KeyRing &Ring,
                        std::uint64_t WallClock);

/// The digest in \p Head, if another node has signed it.
std::optional<KeyDigest> forwardedDigest(const Poco::Net::HTTPRequest &Head,
                                         const Dialect &HeaderDialect,
                                         const KeyRing &Ring,
                                         std::uint64_t WallClock);

/// Removes from \p Head what replaceKeyByDigest adds.
void dropForwardedDigest(Poco::Net::HTTPRequest &Head);

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_REQUESTS_FORWARDED_KEY_H
