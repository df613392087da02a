#ifndef SISKINSTAGE_CORE_REQUESTS_REQUEST_KEY_H
#define SISKINSTAGE_CORE_REQUESTS_REQUEST_KEY_H

#include "core/address.h"
#include "core/callers/http_refusal.h"
#include "core/fleet/key_ring.h"
#include "siskinstage/units.h"

#include <string>

namespace siskinstage {

/// Prefix of idempotency keys: identifies the one process that may dispatch the
/// requests with these keys, and the epoch of the keys.
struct KeyPrefix {
  AddressParts Owner; ///< Address of the owner's port for callers.
  Incarnation Process;
  KeyEpoch Epoch;
  bool operator==(const KeyPrefix &) const = default;
};

/// An idempotency key: a prefix signed by the fleet, a dot, and a part that the
/// caller chooses.
struct RequestKey {
  KeyPrefix Prefix;
  std::string Text; ///< The complete key as the caller sent it.
};

/// Hexadecimal form of \p Prefix with its signature.
std::string formatKeyPrefix(const KeyPrefix &Prefix, const KeyRing &Ring);

/// Parses the value of an Idempotency-Key header.
/// \returns a refusal with status 400 if the value is malformed or its prefix
///          has no valid signature of the fleet.
HttpResult<RequestKey> parseRequestKey(const std::string &Text,
                                       const KeyRing &Ring);

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_REQUESTS_REQUEST_KEY_H
