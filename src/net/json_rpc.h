#ifndef SISKINSTAGE_NET_JSON_RPC_H
#define SISKINSTAGE_NET_JSON_RPC_H

#include <json/value.h>
#include <string>

namespace siskinstage {

/// Encodes \p Params as a JSON-RPC 2.0 notification "gossip".
std::string gossipNotification(const Json::Value &Params);

/// Decodes a notification "gossip" into \p Params.
/// \returns false if \p Text is not one.
bool readGossipNotification(const std::string &Text, Json::Value &Params);

} // namespace siskinstage

#endif // SISKINSTAGE_NET_JSON_RPC_H
