#ifndef SISKINSTAGE_CORE_FLEET_GOSSIP_CODEC_H
#define SISKINSTAGE_CORE_FLEET_GOSSIP_CODEC_H

#include "core/fleet/gossip_message.h"
#include "siskinstage/error.h"

#include <json/value.h>

namespace siskinstage {

/// Encodes \p Message as the JSON object that is sent between nodes.
Json::Value encodeGossip(const GossipMessage &Message);

/// The inverse of encodeGossip. \returns an error naming the first malformed
/// field.
Result<GossipMessage> decodeGossip(const Json::Value &Value);

/// Encodes \p Node as a JSON array.
Json::Value encodeMember(const Member &Node);
/// The inverse of encodeMember; also reads the arrays of the first version.
Result<Member> decodeMember(const Json::Value &Value);

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_FLEET_GOSSIP_CODEC_H
