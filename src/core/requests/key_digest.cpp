#include "core/requests/key_digest.h"
#include "core/hex.h"

#include <Poco/SHA2Engine.h>
#include <algorithm>

namespace siskinstage {

KeyDigest digestOfKey(std::string_view Key) {
  Poco::SHA2Engine Engine(Poco::SHA2Engine::SHA_256);
  Engine.update(Key.data(), Key.size());
  const Poco::DigestEngine::Digest &Full = Engine.digest();
  KeyDigest Digest;
  std::copy_n(Full.begin(), KeyDigest::ByteCount, Digest.Bytes.begin());
  return Digest;
}

std::string digestText(const KeyDigest &Digest) {
  return toHex(std::string(Digest.Bytes.begin(), Digest.Bytes.end()));
}

std::optional<KeyDigest> parseDigest(std::string_view Digits) {
  const auto Bytes = fromHex(Digits);
  if (!Bytes || Bytes->size() != KeyDigest::ByteCount)
    return std::nullopt;
  KeyDigest Digest;
  std::copy(Bytes->begin(), Bytes->end(), Digest.Bytes.begin());
  return Digest;
}

} // namespace siskinstage
