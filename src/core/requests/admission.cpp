#include "core/requests/admission.h"
#include "core/requests/account_directory.h"
#include "core/requests/key_digest.h"
#include "siskinstage/route_record.h"

namespace siskinstage {

AccountDecision checkAccount(const AccountDirectory *Directory,
                             const RouteRecord &Route, std::string_view Key) {
  if (Directory == nullptr)
    return Admitted{};
  if (Key.size() > MaxApiKeyBytes)
    return Route.Public ? AccountDecision(Admitted{}) : UnknownKey{};
  const auto Digest =
      Key.empty() ? std::nullopt : std::optional<KeyDigest>(digestOfKey(Key));
  return checkAccount(Directory, Route, Digest);
}

AccountDecision checkAccount(const AccountDirectory *Directory,
                             const RouteRecord &Route,
                             const std::optional<KeyDigest> &Digest) {
  if (Directory == nullptr)
    return Admitted{};
  const AccountRecord *Account = Digest ? Directory->find(*Digest) : nullptr;
  if (Account != nullptr || Route.Public)
    return Admitted{Account};
  return Digest ? AccountDecision(UnknownKey{}) : MissingKey{};
}

std::uint32_t effectivePriority(const AccountRecord *Account,
                                const RouteRecord &Route) {
  return Account == nullptr ? Route.Priority
                            : Account->Priority.value_or(Route.Priority);
}

} // namespace siskinstage
