#include "node/requests/forwarded_key.h"
#include "core/requests/key_digest.h"
#include "net/http_io.h"
#include "node/dialect.h"
#include "node/fleet/peer_signature.h"
#include "node/header_names.h"

#include <string>

namespace siskinstage {

namespace {

constexpr std::string_view ForwardContext = "siskinstage forwarded key 1 ";

/// What the signature covers: the digest holds for this request only. A replay
/// has the same idempotency key, so that it runs nothing again.
std::string coveredBytes(const Poco::Net::HTTPRequest &Head,
                         const Dialect &HeaderDialect) {
  return Head.getMethod() + "\n" + Head.getURI() + "\n" + Head.get("Host", "") +
         "\n" + Head.get(HeaderDialect.IdempotencyKey, "") + "\n" +
         Head.get(header::KeyDigest, "");
}

} // namespace

void replaceKeyByDigest(Poco::Net::HTTPRequest &Head,
                        const std::optional<KeyDigest> &Digest,
                        const Dialect &HeaderDialect, const KeyRing &Ring,
                        std::uint64_t WallClock) {
  dropForwardedDigest(Head);
  Head.erase(HeaderDialect.ApiKey);
  if (!Digest)
    return;
  Head.set(header::KeyDigest, digestText(*Digest));
  signPeerRequest(Head, Ring, ForwardContext, coveredBytes(Head, HeaderDialect),
                  WallClock);
}

std::optional<KeyDigest> forwardedDigest(const Poco::Net::HTTPRequest &Head,
                                         const Dialect &HeaderDialect,
                                         const KeyRing &Ring,
                                         std::uint64_t WallClock) {
  if (headerValues(Head, header::KeyDigest).size() != 1 ||
      !verifyPeerRequest(Head, Ring, ForwardContext,
                         coveredBytes(Head, HeaderDialect), WallClock))
    return std::nullopt;
  return parseDigest(Head.get(header::KeyDigest));
}

void dropForwardedDigest(Poco::Net::HTTPRequest &Head) {
  for (const char *Name :
       {header::KeyDigest, header::PeerTime, header::PeerMac})
    Head.erase(Name);
}

} // namespace siskinstage
