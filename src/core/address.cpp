#include "core/address.h"

#include <charconv>

namespace siskinstage {

namespace {

/// Parses a decimal number of at most \p Max at \p Position and moves
/// \p Position past it.
std::optional<unsigned> readNumber(const char *&Position, const char *End,
                                   unsigned Max) {
  unsigned Value = 0;
  const auto [Next, ErrorCode] = std::from_chars(Position, End, Value);
  const bool LeadingZero = Next - Position > 1 && *Position == '0';
  if (ErrorCode != std::errc{} || Value > Max || LeadingZero)
    return std::nullopt;
  Position = Next;
  return Value;
}

} // namespace

std::optional<AddressParts> parseAddress(const std::string &Text) {
  AddressParts Parts;
  const char *Position = Text.data();
  const char *End = Position + Text.size();
  for (std::size_t I = 0; I < Parts.Ip.size(); ++I) {
    const auto Byte = readNumber(Position, End, 255);
    const char Separator = I + 1 < Parts.Ip.size() ? '.' : ':';
    if (!Byte || Position == End || *Position != Separator)
      return std::nullopt;
    Parts.Ip[I] = static_cast<std::uint8_t>(*Byte);
    ++Position;
  }
  const auto Port = readNumber(Position, End, 65535);
  if (!Port || *Port == 0 || Position != End)
    return std::nullopt;
  Parts.Port = static_cast<std::uint16_t>(*Port);
  return Parts;
}

Address formatAddress(const AddressParts &Parts) {
  std::string Text;
  for (const std::uint8_t Byte : Parts.Ip)
    Text += (Text.empty() ? "" : ".") + std::to_string(Byte);
  return Address(Text + ":" + std::to_string(Parts.Port));
}

} // namespace siskinstage
