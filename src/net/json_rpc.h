#ifndef SISKINSTAGE_NET_JSON_RPC_H
#define SISKINSTAGE_NET_JSON_RPC_H

#include <json/value.h>
#include <string>

namespace siskinstage {

/// Text of a JSON-RPC 2.0 notification "gossip" with \p Params.
std::string gossipNotification(const Json::Value &Params);

/// Reads such a text. \returns false if it is no such notification.
bool readGossipNotification(const std::string &Text, Json::Value &Params);

} // namespace siskinstage

#endif // SISKINSTAGE_NET_JSON_RPC_H
