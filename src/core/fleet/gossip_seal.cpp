#include "core/fleet/gossip_seal.h"
#include "core/hex.h"
#include "siskinstage/config.h"

#include <charconv>
#include <optional>

namespace siskinstage {

namespace {

constexpr std::size_t MacBytes = 16;
constexpr std::uint64_t WindowBits = 64;
constexpr std::string_view SigningContext = "siskinstage gossip 1 ";

tl::unexpected<Error> rejected(const std::string &Reason) {
  return fail(Step::Forward, "gossip", Reason);
}

/// Removes a decimal number and the space after it from the start of \p Text.
std::optional<std::uint64_t> takeNumber(std::string_view &Text) {
  std::uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  const auto [Next, ErrorCode] = std::from_chars(Text.data(), End, Value);
  if (ErrorCode != std::errc{} || Next == End || *Next != ' ')
    return std::nullopt;
  Text.remove_prefix(static_cast<std::size_t>(Next - Text.data()) + 1);
  return Value;
}

std::string signedBytes(std::string_view Header, std::string_view Payload) {
  return std::string(SigningContext) + std::string(Header) +
         std::string(Payload);
}

} // namespace

GossipSeal::GossipSeal(const KeyRing &Ring, Incarnation Process)
    : Ring(Ring), Process(Process) {}

std::string GossipSeal::seal(const std::string &Payload,
                             std::uint64_t WallClock) {
  const std::string Header = std::to_string(this->Process.Value) + " " +
                             std::to_string(++this->Counter) + " " +
                             std::to_string(WallClock) + " ";
  const std::string Mac =
      this->Ring.sign(signedBytes(Header, Payload), MacBytes);
  return Header + toHex(Mac) + "\n" + Payload;
}

bool GossipSeal::markReceived(std::uint64_t Sender, std::uint64_t Number) {
  if (this->Senders.size() >= config::MaxReplaySenders)
    this->Senders.clear(); // Timestamps still limit the age of a replay.
  ReplayWindow &Window = this->Senders[Sender];
  if (Number > Window.Highest) {
    const std::uint64_t Ahead = Number - Window.Highest;
    Window.Received = Ahead >= WindowBits ? 0 : Window.Received << Ahead;
    Window.Received |= 1U;
    Window.Highest = Number;
    return true;
  }
  const std::uint64_t Behind = Window.Highest - Number;
  if (Behind >= WindowBits)
    return false;
  const std::uint64_t Bit = 1ULL << Behind;
  const bool New = (Window.Received & Bit) == 0;
  Window.Received |= Bit;
  return New;
}

Result<std::string> GossipSeal::open(const std::string &Datagram,
                                     std::uint64_t WallClock) {
  const std::size_t LineEnd = Datagram.find('\n');
  if (LineEnd == std::string::npos)
    return rejected("datagram without a header line");
  std::string_view Header = std::string_view(Datagram).substr(0, LineEnd);
  const std::string_view Payload =
      std::string_view(Datagram).substr(LineEnd + 1);
  const std::string_view FullHeader = Header;
  const auto Sender = takeNumber(Header);
  const auto Number = Sender ? takeNumber(Header) : std::nullopt;
  const auto Time = Number ? takeNumber(Header) : std::nullopt;
  const auto Mac = Time ? fromHex(Header) : std::nullopt;
  if (!Mac || Mac->size() != MacBytes)
    return rejected("datagram with a malformed header");
  const std::string_view Signed =
      FullHeader.substr(0, FullHeader.size() - Header.size());
  if (!this->Ring.verify(signedBytes(Signed, Payload), *Mac))
    return rejected("datagram not signed by a key of this fleet");
  const std::uint64_t Difference =
      *Time > WallClock ? *Time - WallClock : WallClock - *Time;
  if (Difference >
      static_cast<std::uint64_t>(config::GossipClockTolerance.count()))
    return rejected("timestamp of the datagram exceeds the clock tolerance");
  if (!this->markReceived(*Sender, *Number))
    return rejected("replayed datagram");
  return std::string(Payload);
}

} // namespace siskinstage
