#include "core/requests/request_key.h"
#include "core/hex.h"
#include "siskinstage/config.h"

#include <algorithm>

namespace siskinstage {

namespace {

constexpr std::size_t IpBytes = 4;
constexpr std::size_t PortBytes = 2;
constexpr std::size_t IncarnationBytes = 8;
constexpr std::size_t EpochBytes = 4;
constexpr std::size_t PayloadBytes =
    IpBytes + PortBytes + IncarnationBytes + EpochBytes;
constexpr std::size_t PrefixDigits = 2 * (PayloadBytes + config::KeyMacBytes);
constexpr std::string_view SigningContext = "siskinstage key prefix 1 ";

/// Appends the lowest \p Bytes bytes of \p Value, in big-endian order.
void appendNumber(std::string &Text, std::uint64_t Value, std::size_t Bytes) {
  for (std::size_t I = Bytes; I > 0; --I)
    Text += static_cast<char>((Value >> (8 * (I - 1))) & 0xffU);
}

/// Reads \p Bytes bytes in big-endian order, and removes them from \p Text.
std::uint64_t readNumber(std::string_view &Text, std::size_t Bytes) {
  std::uint64_t Value = 0;
  for (const char Byte : Text.substr(0, Bytes))
    Value = (Value << 8U) | static_cast<unsigned char>(Byte);
  Text.remove_prefix(Bytes);
  return Value;
}

std::string signedBytes(std::string_view Payload) {
  return std::string(SigningContext) + std::string(Payload);
}

bool isPrintable(char Byte) { return Byte > ' ' && Byte < 0x7f; }

KeyPrefix decodePayload(std::string_view Payload) {
  KeyPrefix Prefix;
  for (std::uint8_t &Byte : Prefix.Owner.Ip)
    Byte = static_cast<std::uint8_t>(readNumber(Payload, 1));
  Prefix.Owner.Port =
      static_cast<std::uint16_t>(readNumber(Payload, PortBytes));
  Prefix.Process.Value = readNumber(Payload, IncarnationBytes);
  Prefix.Epoch.Value =
      static_cast<std::uint32_t>(readNumber(Payload, EpochBytes));
  return Prefix;
}

} // namespace

std::string formatKeyPrefix(const KeyPrefix &Prefix, const KeyRing &Ring) {
  std::string Payload;
  for (const std::uint8_t Byte : Prefix.Owner.Ip)
    appendNumber(Payload, Byte, 1);
  appendNumber(Payload, Prefix.Owner.Port, PortBytes);
  appendNumber(Payload, Prefix.Process.Value, IncarnationBytes);
  appendNumber(Payload, Prefix.Epoch.Value, EpochBytes);
  return toHex(Payload + Ring.sign(signedBytes(Payload), config::KeyMacBytes));
}

HttpResult<RequestKey> parseRequestKey(const std::string &Text,
                                       const KeyRing &Ring) {
  const std::string_view KeyText = Text;
  if (KeyText.size() > config::MaxKeyBytes)
    return refuse(400, "header Idempotency-Key is longer than 200 bytes");
  if (KeyText.size() < PrefixDigits + 2 || KeyText[PrefixDigits] != '.')
    return refuse(400, "header Idempotency-Key is not <key_prefix>.<own part>");
  if (!std::all_of(KeyText.begin(), KeyText.end(), isPrintable))
    return refuse(400, "header Idempotency-Key holds a character that is not "
                       "printable ASCII");
  const auto Bytes = fromHex(KeyText.substr(0, PrefixDigits));
  if (!Bytes)
    return refuse(400, "the prefix of header Idempotency-Key is not "
                       "hexadecimal");
  const std::string_view Payload =
      std::string_view(*Bytes).substr(0, PayloadBytes);
  const std::string_view Mac = std::string_view(*Bytes).substr(PayloadBytes);
  if (!Ring.verify(signedBytes(Payload), Mac))
    return refuse(400, "the prefix of header Idempotency-Key was not given "
                       "out by this fleet");
  return RequestKey{decodePayload(Payload), Text};
}

} // namespace siskinstage
