#ifndef SISKINSTAGE_CORE_FLEET_KEY_RING_H
#define SISKINSTAGE_CORE_FLEET_KEY_RING_H

#include "siskinstage/error.h"

#include <string>
#include <string_view>
#include <vector>

namespace siskinstage {

/// The fleet's secret keys. The first one signs and all of them verify, so that
/// a key can be replaced while nodes still use the old one.
class KeyRing {
public:
  /// \param Text "id:hex,id:hex"; each secret has at least 16 bytes.
  /// \returns an error naming the first malformed key, or if there is none.
  static Result<KeyRing> parse(const std::string &Text);

  /// The first \p Bytes bytes of the HMAC-SHA256 of \p Data by the first key.
  [[nodiscard]] std::string sign(std::string_view Data,
                                 std::size_t Bytes) const;
  /// Whether \p Mac, possibly truncated, is the MAC of \p Data by any key.
  /// Takes the same time for every wrong \p Mac of the same length.
  [[nodiscard]] bool verify(std::string_view Data, std::string_view Mac) const;
  /// Ids of the keys, without their secrets.
  [[nodiscard]] std::vector<std::string> ids() const;

private:
  struct Key {
    std::string Id;
    std::string Secret;
  };
  std::vector<Key> Keys;

  KeyRing() = default;
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_FLEET_KEY_RING_H
