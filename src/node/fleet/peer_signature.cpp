#include "node/fleet/peer_signature.h"
#include "core/fleet/key_ring.h"
#include "core/hex.h"
#include "node/header_names.h"
#include "siskinstage/config.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/NumberParser.h>

namespace siskinstage {

namespace {

/// The bytes that the signature of a request covers.
std::string signedBytes(std::string_view Context, const std::string &Time,
                        std::string_view Covered) {
  return std::string(Context) + Time + " " + std::string(Covered);
}

} // namespace

std::string signPeerRequest(Poco::Net::HTTPRequest &Head, const KeyRing &Ring,
                            std::string_view Context, std::string_view Covered,
                            std::uint64_t WallClock) {
  const std::string Time = std::to_string(WallClock);
  std::string Mac =
      toHex(Ring.sign(signedBytes(Context, Time, Covered), PeerMacBytes));
  Head.set(header::PeerTime, Time);
  Head.set(header::PeerMac, Mac);
  return Mac;
}

HttpResult<std::string> verifyPeerRequest(const Poco::Net::HTTPRequest &Head,
                                          const KeyRing &Ring,
                                          std::string_view Context,
                                          std::string_view Covered,
                                          std::uint64_t WallClock) {
  const std::string Time = Head.get(header::PeerTime, "");
  const std::string Mac = Head.get(header::PeerMac, "");
  const auto MacValue = fromHex(Mac);
  Poco::UInt64 RequestTime = 0;
  if (!MacValue || MacValue->size() != PeerMacBytes ||
      !Poco::NumberParser::tryParseUnsigned64(Time, RequestTime) ||
      !Ring.verify(signedBytes(Context, Time, Covered), *MacValue))
    return refuse(403, "the question is not signed by a node of this fleet");
  const std::uint64_t ClockDifference = RequestTime > WallClock
                                            ? RequestTime - WallClock
                                            : WallClock - RequestTime;
  if (ClockDifference >
      static_cast<std::uint64_t>(config::GossipClockTolerance.count()))
    return refuse(403, "the question's time is too far off");
  return Mac;
}

} // namespace siskinstage
