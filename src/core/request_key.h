#ifndef SISKINSTAGE_CORE_REQUEST_KEY_H
#define SISKINSTAGE_CORE_REQUEST_KEY_H

#include "core/address.h"
#include "core/http_refusal.h"
#include "core/key_ring.h"
#include "siskinstage/units.h"

#include <string>

namespace siskinstage {

/// Names the one process that may dispatch the keys that start with it.
struct KeyPrefix {
  AddressParts Owner; ///< The owner's callers' port.
  Incarnation Process;
  KeyEpoch Epoch;
  bool operator==(const KeyPrefix &) const = default;
};

/// An idempotency key: a prefix that the fleet signed, a dot and the caller's
/// own part.
struct RequestKey {
  KeyPrefix Prefix;
  std::string Text; ///< The whole key as the caller sent it.
};

/// Hexadecimal form of \p Prefix with its signature.
std::string formatKeyPrefix(const KeyPrefix &Prefix, const KeyRing &Ring);

/// Reads the value of an Idempotency-Key header. A key whose prefix the fleet
/// did not sign is refused with 400.
HttpResult<RequestKey> parseRequestKey(const std::string &Text,
                                       const KeyRing &Ring);

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_REQUEST_KEY_H
