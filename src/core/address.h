#ifndef SISKINSTAGE_CORE_ADDRESS_H
#define SISKINSTAGE_CORE_ADDRESS_H

#include "siskinstage/strong_id.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>

namespace siskinstage {

/// The parsed parts of an Address.
struct AddressParts {
  std::array<std::uint8_t, 4> Ip{};
  std::uint16_t Port = 0;
  bool operator==(const AddressParts &) const = default;
};

/// Parses "a.b.c.d:port". \returns nothing if \p Text is not an IPv4 address
/// with a port from 1 to 65535.
std::optional<AddressParts> parseAddress(const std::string &Text);

/// The inverse of parseAddress.
Address formatAddress(const AddressParts &Parts);

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_ADDRESS_H
