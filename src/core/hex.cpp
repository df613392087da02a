#include "core/hex.h"

#include <charconv>

namespace siskinstage {

std::string toHex(std::string_view Bytes) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Text;
  Text.reserve(Bytes.size() * 2);
  for (const char Byte : Bytes) {
    const auto ByteValue = static_cast<unsigned char>(Byte);
    Text += Digits[ByteValue >> 4U];
    Text += Digits[ByteValue & 0xfU];
  }
  return Text;
}

std::optional<std::string> fromHex(std::string_view Digits) {
  if (Digits.size() % 2 != 0)
    return std::nullopt;
  std::string Bytes;
  Bytes.reserve(Digits.size() / 2);
  for (std::size_t I = 0; I < Digits.size(); I += 2) {
    unsigned ByteValue = 0;
    const char *First = Digits.data() + I;
    const auto [Next, ErrorCode] =
        std::from_chars(First, First + 2, ByteValue, 16);
    if (ErrorCode != std::errc{} || Next != First + 2)
      return std::nullopt;
    Bytes += static_cast<char>(ByteValue);
  }
  return Bytes;
}

} // namespace siskinstage
