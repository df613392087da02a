#ifndef SISKINSTAGE_NODE_REQUESTS_ACCOUNT_CHECK_H
#define SISKINSTAGE_NODE_REQUESTS_ACCOUNT_CHECK_H

#include "core/requests/account_quota.h"
#include "node/requests/refusal.h"
#include "siskinstage/key_digest.h"
#include "siskinstage/strong_id.h"

#include <cstdint>
#include <optional>
#include <tl/expected.hpp>

namespace Poco::Net {
class HTTPRequest;
} // namespace Poco::Net

namespace siskinstage {

struct CallerRequest;
struct Dialect;
struct NodeContext;
struct Snapshot;

/// The client account of a request, and the priority of the request.
struct ClientAccount {
  /// The account of the API key; if the configuration lists no accounts, the
  /// one that the request states.
  AccountName Name;
  /// The account's priority, or else the route's; 0 is the highest.
  std::uint32_t Priority = 0;
  /// The configuration lists accounts, so that the headers of the API key and
  /// the account's name are set by the node alone.
  bool KeysRequired = false;
  /// Limits over all nodes; a rate of 0 for none.
  QuotaLimits Quota;
  bool Known = false;       ///< An account has the key; targets get its name.
  bool PublicRoute = false; ///< The route needs no API key.
  /// Digest of the API key, also of an unknown one; none if the request has no
  /// key, or not a usable one.
  std::optional<KeyDigest> Digest;
};

/// Determines the account of \p Request and whether its API key admits it.
/// Counts the result by reason and priority.
/// \returns a refusal with status 400 or 401 if it is not admitted. Without a
///          route the account is that which the request states.
tl::expected<ClientAccount, Refusal>
checkClientAccount(NodeContext &Context, const Snapshot &Current,
                   const CallerRequest &Request);

/// Replaces the headers of the API key and the account's name in \p Head, which
/// goes to a target, by those of \p Client. Must follow the removal of the
/// headers that Connection names: those may include the account's name.
void setAccountHeaders(Poco::Net::HTTPRequest &Head,
                       const ClientAccount &Client,
                       const Dialect &HeaderDialect);

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_REQUESTS_ACCOUNT_CHECK_H
