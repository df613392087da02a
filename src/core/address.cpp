#include "core/address.h"

#include <charconv>

namespace siskinstage {

namespace {

/// Reads a decimal number up to \p Most at \p At and moves \p At behind it.
std::optional<unsigned> readNumber(const char *&At, const char *End,
                                   unsigned Most) {
  unsigned Value = 0;
  const auto [Next, Fault] = std::from_chars(At, End, Value);
  const bool LeadingZero = Next - At > 1 && *At == '0';
  if (Fault != std::errc{} || Value > Most || LeadingZero)
    return std::nullopt;
  At = Next;
  return Value;
}

} // namespace

std::optional<AddressParts> parseAddress(const std::string &Text) {
  AddressParts Parts;
  const char *At = Text.data();
  const char *End = At + Text.size();
  for (std::size_t I = 0; I < Parts.Ip.size(); ++I) {
    const auto Byte = readNumber(At, End, 255);
    const char Separator = I + 1 < Parts.Ip.size() ? '.' : ':';
    if (!Byte || At == End || *At != Separator)
      return std::nullopt;
    Parts.Ip[I] = static_cast<std::uint8_t>(*Byte);
    ++At;
  }
  const auto Port = readNumber(At, End, 65535);
  if (!Port || *Port == 0 || At != End)
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
