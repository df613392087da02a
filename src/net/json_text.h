#ifndef SISKINSTAGE_NET_JSON_TEXT_H
#define SISKINSTAGE_NET_JSON_TEXT_H

#include "siskinstage/error.h"

#include <json/value.h>
#include <string>

namespace siskinstage {

/// \p Value as JSON text on a single line.
std::string compactJson(const Json::Value &Value);

/// Parses \p Text.
/// \param Peer the source of the text, for the error.
Result<Json::Value> parseJson(const std::string &Text, const std::string &Peer);

} // namespace siskinstage

#endif // SISKINSTAGE_NET_JSON_TEXT_H
