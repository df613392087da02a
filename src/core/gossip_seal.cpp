#include "core/gossip_seal.h"
#include "core/hex.h"
#include "siskinstage/config.h"

#include <charconv>
#include <optional>

namespace siskinstage {

namespace {

constexpr std::size_t MacBytes = 16;
constexpr std::uint64_t WindowBits = 64;
constexpr std::string_view SigningContext = "siskinstage gossip 1 ";

tl::unexpected<Error> refused(const std::string &Reason) {
  return fail(Step::Forward, "gossip", Reason);
}

/// Reads a decimal number and the space behind it.
std::optional<std::uint64_t> takeNumber(std::string_view &Text) {
  std::uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  const auto [Next, Fault] = std::from_chars(Text.data(), End, Value);
  if (Fault != std::errc{} || Next == End || *Next != ' ')
    return std::nullopt;
  Text.remove_prefix(static_cast<std::size_t>(Next - Text.data()) + 1);
  return Value;
}

std::string signedBytes(std::string_view Head, std::string_view Payload) {
  return std::string(SigningContext) + std::string(Head) + std::string(Payload);
}

} // namespace

GossipSeal::GossipSeal(const KeyRing &Ring, Incarnation Process)
    : Ring(Ring), Process(Process) {}

std::string GossipSeal::seal(const std::string &Payload,
                             std::uint64_t WallClock) {
  const std::string Head = std::to_string(this->Process.Value) + " " +
                           std::to_string(++this->Counter) + " " +
                           std::to_string(WallClock) + " ";
  const std::string Mac = this->Ring.sign(signedBytes(Head, Payload), MacBytes);
  return Head + toHex(Mac) + "\n" + Payload;
}

bool GossipSeal::isFresh(std::uint64_t Sender, std::uint64_t Number) {
  if (this->Senders.size() >= config::MaxReplaySenders)
    this->Senders.clear(); // The time stamps still bound a replay.
  Window &Seen = this->Senders[Sender];
  if (Number > Seen.Highest) {
    const std::uint64_t Ahead = Number - Seen.Highest;
    Seen.Seen = Ahead >= WindowBits ? 0 : Seen.Seen << Ahead;
    Seen.Seen |= 1U;
    Seen.Highest = Number;
    return true;
  }
  const std::uint64_t Behind = Seen.Highest - Number;
  if (Behind >= WindowBits)
    return false;
  const std::uint64_t Bit = 1ULL << Behind;
  const bool New = (Seen.Seen & Bit) == 0;
  Seen.Seen |= Bit;
  return New;
}

Result<std::string> GossipSeal::open(const std::string &Datagram,
                                     std::uint64_t WallClock) {
  const std::size_t LineEnd = Datagram.find('\n');
  if (LineEnd == std::string::npos)
    return refused("the datagram has no head");
  std::string_view Head = std::string_view(Datagram).substr(0, LineEnd);
  const std::string_view Payload =
      std::string_view(Datagram).substr(LineEnd + 1);
  const std::string_view Whole = Head;
  const auto Sender = takeNumber(Head);
  const auto Number = Sender ? takeNumber(Head) : std::nullopt;
  const auto Time = Number ? takeNumber(Head) : std::nullopt;
  const auto Mac = Time ? fromHex(Head) : std::nullopt;
  if (!Mac || Mac->size() != MacBytes)
    return refused("the datagram's head is malformed");
  const std::string_view Signed = Whole.substr(0, Whole.size() - Head.size());
  if (!this->Ring.verify(signedBytes(Signed, Payload), *Mac))
    return refused("the datagram is not signed by a key of this fleet");
  const std::uint64_t Apart =
      *Time > WallClock ? *Time - WallClock : WallClock - *Time;
  if (Apart > static_cast<std::uint64_t>(config::GossipClockTolerance.count()))
    return refused("the datagram's time is too far off");
  if (!this->isFresh(*Sender, *Number))
    return refused("the datagram came a second time");
  return std::string(Payload);
}

} // namespace siskinstage
