#ifndef SISKINSTAGE_CORE_REQUESTS_ADMISSION_H
#define SISKINSTAGE_CORE_REQUESTS_ADMISSION_H

#include "siskinstage/account_record.h"
#include "siskinstage/key_digest.h"

#include <cstddef>
#include <optional>
#include <string_view>
#include <variant>

namespace siskinstage {

class AccountDirectory;
struct RouteRecord;

// The load it addresses: requests of callers without a valid API key, which
// must take no capacity from those of the client accounts.

/// The longest API key that is looked up, in bytes. Keys of the operators have
/// some tens of bytes; the bound keeps the digest of a request cheap.
inline constexpr std::size_t MaxApiKeyBytes = 256;

/// The request may run.
struct Admitted {
  /// Null if the configuration lists no accounts, or for a request without a
  /// known key on a public route.
  const AccountRecord *Account = nullptr;
};

/// The request has no key, or an empty one.
struct MissingKey {};

/// No account has the key, or it is longer than MaxApiKeyBytes.
struct UnknownKey {};

using AccountDecision = std::variant<Admitted, MissingKey, UnknownKey>;

/// Decides by its API key whether a request may run.
/// \param Directory null if the configuration lists no accounts.
/// \param Key the API key, empty if the request has none.
AccountDecision checkAccount(const AccountDirectory *Directory,
                             const RouteRecord &Route, std::string_view Key);

/// The same for a request of which only the digest of the key is known.
AccountDecision checkAccount(const AccountDirectory *Directory,
                             const RouteRecord &Route,
                             const std::optional<KeyDigest> &Digest);

/// Priority of the requests of \p Account on \p Route: that of the account if
/// it has one, else that of the route; 0 is the highest.
std::uint32_t effectivePriority(const AccountRecord *Account,
                                const RouteRecord &Route);

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_REQUESTS_ADMISSION_H
