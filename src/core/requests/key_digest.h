#ifndef SISKINSTAGE_CORE_REQUESTS_KEY_DIGEST_H
#define SISKINSTAGE_CORE_REQUESTS_KEY_DIGEST_H

#include "siskinstage/key_digest.h"

#include <optional>
#include <string>
#include <string_view>

namespace siskinstage {

/// The digest by which the API key \p Key is known.
KeyDigest digestOfKey(std::string_view Key);

/// \p Digest as 32 lower-case hexadecimal digits.
std::string digestText(const KeyDigest &Digest);

/// The inverse of digestText. \returns nothing unless \p Digits are 32
/// hexadecimal digits.
std::optional<KeyDigest> parseDigest(std::string_view Digits);

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_REQUESTS_KEY_DIGEST_H
