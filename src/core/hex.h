#ifndef SISKINSTAGE_CORE_HEX_H
#define SISKINSTAGE_CORE_HEX_H

#include <optional>
#include <string>
#include <string_view>

namespace siskinstage {

/// Lower-case hexadecimal digits of \p Bytes.
std::string toHex(std::string_view Bytes);

/// The inverse of toHex; nothing if \p Digits is not hexadecimal.
std::optional<std::string> fromHex(std::string_view Digits);

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_HEX_H
