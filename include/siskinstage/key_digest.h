#ifndef SISKINSTAGE_KEY_DIGEST_H
#define SISKINSTAGE_KEY_DIGEST_H

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>

namespace siskinstage {

/// The first 128 bits of the SHA-256 digest of an API key. The key itself is
/// not kept.
struct KeyDigest {
  static constexpr std::size_t ByteCount = 16;
  std::array<std::uint8_t, ByteCount> Bytes{};
  auto operator<=>(const KeyDigest &) const = default;
};

} // namespace siskinstage

#endif // SISKINSTAGE_KEY_DIGEST_H
