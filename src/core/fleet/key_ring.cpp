#include "core/fleet/key_ring.h"
#include "core/hex.h"

#include <Poco/HMACEngine.h>
#include <Poco/SHA2Engine.h>
#include <algorithm>
#include <sstream>

namespace siskinstage {

namespace {

constexpr std::size_t MinSecretBytes = 16;
constexpr std::size_t MacBytes = 32;

/// SHA-256 with the interface that HMACEngine expects.
class Sha256 : public Poco::SHA2Engine {
public:
  enum { BLOCK_SIZE = 64, DIGEST_SIZE = 32 };
  Sha256() : Poco::SHA2Engine(Poco::SHA2Engine::SHA_256) {}
};

std::string hmac(const std::string &Secret, std::string_view Data) {
  Poco::HMACEngine<Sha256> Engine(Secret);
  Engine.update(Data.data(), Data.size());
  const Poco::DigestEngine::Digest &Digest = Engine.digest();
  return {Digest.begin(), Digest.end()};
}

/// Compares without an early exit, so that the time does not tell how many
/// bytes match.
bool equalInConstantTime(std::string_view Left, std::string_view Right) {
  if (Left.size() != Right.size())
    return false;
  unsigned Difference = 0;
  for (std::size_t I = 0; I < Left.size(); ++I)
    Difference |= static_cast<unsigned char>(Left[I]) ^
                  static_cast<unsigned char>(Right[I]);
  return Difference == 0;
}

} // namespace

Result<KeyRing> KeyRing::parse(const std::string &Text) {
  KeyRing Ring;
  std::istringstream Items(Text);
  std::string Item;
  while (std::getline(Items, Item, ',')) {
    const std::size_t Colon = Item.find(':');
    const std::string Id = Item.substr(0, Colon);
    const auto Secret = Colon == std::string::npos
                            ? std::nullopt
                            : fromHex(std::string_view(Item).substr(Colon + 1));
    if (Id.empty() || !Secret || Secret->size() < MinSecretBytes)
      return fail(Step::Settings, "fleet_keys",
                  "key \"" + Id + "\" is not id:hex with at least 16 bytes");
    Ring.Keys.push_back({Id, *Secret});
  }
  if (Ring.Keys.empty())
    return fail(Step::Settings, "fleet_keys", "no key is given");
  return Ring;
}

std::string KeyRing::sign(std::string_view Data, std::size_t Bytes) const {
  return hmac(this->Keys.front().Secret, Data)
      .substr(0, std::min(Bytes, MacBytes));
}

bool KeyRing::verify(std::string_view Data, std::string_view Mac) const {
  if (Mac.empty() || Mac.size() > MacBytes)
    return false;
  return std::any_of(
      this->Keys.begin(), this->Keys.end(), [&](const Key &Candidate) {
        return equalInConstantTime(
            hmac(Candidate.Secret, Data).substr(0, Mac.size()), Mac);
      });
}

std::vector<std::string> KeyRing::ids() const {
  std::vector<std::string> Ids;
  for (const Key &Entry : this->Keys)
    Ids.push_back(Entry.Id);
  return Ids;
}

} // namespace siskinstage
