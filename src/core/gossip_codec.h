#ifndef SISKINSTAGE_CORE_GOSSIP_CODEC_H
#define SISKINSTAGE_CORE_GOSSIP_CODEC_H

#include "core/gossip_message.h"
#include "siskinstage/error.h"

#include <json/value.h>

namespace siskinstage {

/// \p Message as the JSON object that travels.
Json::Value encodeGossip(const GossipMessage &Message);

/// The inverse; every field is checked, a fault names it.
Result<GossipMessage> decodeGossip(const Json::Value &Value);

/// A member as a JSON array, and back.
Json::Value encodeMember(const Member &Each);
Result<Member> decodeMember(const Json::Value &Value);

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_GOSSIP_CODEC_H
