#include "net/load_pattern.h"
#include "core/hex.h"

#include <cstdint>
#include <cstring>
#include <xxhash.h>

namespace siskinstage {

std::string payloadPattern(const std::string &Work, std::size_t Bytes) {
  std::string Pattern(Bytes, '\0');
  std::uint64_t State = XXH3_64bits(Work.data(), Work.size()) | 1U;
  for (std::size_t At = 0; At < Bytes; At += sizeof(State)) {
    // Xorshift is cheap, and makes each word depend on the name.
    State ^= State << 13U;
    State ^= State >> 7U;
    State ^= State << 17U;
    const std::size_t Part = std::min(sizeof(State), Bytes - At);
    std::memcpy(Pattern.data() + At, &State, Part);
  }
  return Pattern;
}

std::string payloadHash(const std::string &Body) {
  const std::uint64_t Hash = XXH3_64bits(Body.data(), Body.size());
  return toHex(
      std::string_view(reinterpret_cast<const char *>(&Hash), sizeof(Hash)));
}

} // namespace siskinstage
