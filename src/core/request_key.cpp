#include "core/request_key.h"
#include "core/hex.h"
#include "siskinstage/config.h"

#include <algorithm>

namespace siskinstage {

namespace {

constexpr std::size_t IpBytes = 4;
constexpr std::size_t PortBytes = 2;
constexpr std::size_t IncarnationBytes = 8;
constexpr std::size_t EpochBytes = 4;
constexpr std::size_t NameBytes =
    IpBytes + PortBytes + IncarnationBytes + EpochBytes;
constexpr std::size_t PrefixDigits = 2 * (NameBytes + config::KeyMacBytes);
constexpr std::string_view SigningContext = "siskinstage key prefix 1 ";

/// Appends the lowest \p Bytes bytes of \p Value, highest first.
void appendNumber(std::string &Text, std::uint64_t Value, std::size_t Bytes) {
  for (std::size_t I = Bytes; I > 0; --I)
    Text += static_cast<char>((Value >> (8 * (I - 1))) & 0xffU);
}

std::uint64_t takeNumber(std::string_view &Text, std::size_t Bytes) {
  std::uint64_t Value = 0;
  for (const char Byte : Text.substr(0, Bytes))
    Value = (Value << 8U) | static_cast<unsigned char>(Byte);
  Text.remove_prefix(Bytes);
  return Value;
}

std::string signedBytes(std::string_view Name) {
  return std::string(SigningContext) + std::string(Name);
}

bool isPrintable(char Byte) { return Byte > ' ' && Byte < 0x7f; }

KeyPrefix decode(std::string_view Name) {
  KeyPrefix Prefix;
  for (std::uint8_t &Byte : Prefix.Owner.Ip)
    Byte = static_cast<std::uint8_t>(takeNumber(Name, 1));
  Prefix.Owner.Port = static_cast<std::uint16_t>(takeNumber(Name, PortBytes));
  Prefix.Process.Value = takeNumber(Name, IncarnationBytes);
  Prefix.Epoch.Value = static_cast<std::uint32_t>(takeNumber(Name, EpochBytes));
  return Prefix;
}

} // namespace

std::string formatKeyPrefix(const KeyPrefix &Prefix, const KeyRing &Ring) {
  std::string Name;
  for (const std::uint8_t Byte : Prefix.Owner.Ip)
    appendNumber(Name, Byte, 1);
  appendNumber(Name, Prefix.Owner.Port, PortBytes);
  appendNumber(Name, Prefix.Process.Value, IncarnationBytes);
  appendNumber(Name, Prefix.Epoch.Value, EpochBytes);
  return toHex(Name + Ring.sign(signedBytes(Name), config::KeyMacBytes));
}

HttpResult<RequestKey> parseRequestKey(const std::string &Text,
                                       const KeyRing &Ring) {
  const std::string_view Whole = Text;
  if (Whole.size() > config::MaxKeyBytes)
    return refuse(400, "header Idempotency-Key is longer than 200 bytes");
  if (Whole.size() < PrefixDigits + 2 || Whole[PrefixDigits] != '.')
    return refuse(400, "header Idempotency-Key is not <key_prefix>.<own part>");
  if (!std::all_of(Whole.begin(), Whole.end(), isPrintable))
    return refuse(400, "header Idempotency-Key holds a character that is not "
                       "printable ASCII");
  const auto Bytes = fromHex(Whole.substr(0, PrefixDigits));
  if (!Bytes)
    return refuse(400, "the prefix of header Idempotency-Key is not "
                       "hexadecimal");
  const std::string_view Name = std::string_view(*Bytes).substr(0, NameBytes);
  const std::string_view Mac = std::string_view(*Bytes).substr(NameBytes);
  if (!Ring.verify(signedBytes(Name), Mac))
    return refuse(400, "the prefix of header Idempotency-Key was not given "
                       "out by this fleet");
  return RequestKey{decode(Name), Text};
}

} // namespace siskinstage
