#ifndef SISKINSTAGE_CORE_HEX_H
#define SISKINSTAGE_CORE_HEX_H

#include <optional>
#include <string>
#include <string_view>

namespace siskinstage {

/// Encodes \p Bytes as lower-case hexadecimal digits.
std::string toHex(std::string_view Bytes);

/// The inverse of toHex; upper-case digits are valid too.
/// \returns nothing if \p Digits is not hexadecimal or of odd length.
std::optional<std::string> fromHex(std::string_view Digits);

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_HEX_H
