#ifndef SISKINSTAGE_NODE_REQUESTS_REVOCATION_CHECK_H
#define SISKINSTAGE_NODE_REQUESTS_REVOCATION_CHECK_H

#include "node/requests/refusal.h"

#include <optional>

namespace siskinstage {

struct ClientAccount;
struct NodeContext;

/// Checks that a request of \p Client may still run: that the newest
/// configuration has its API key, and that this configuration is known to be
/// new enough. Must be called on arrival and directly before each attempt. A
/// request on a public route runs without its account instead.
/// \returns the refusal of a request that must not run, with status 401 or 503.
std::optional<Refusal> checkRevocation(NodeContext &Context,
                                       ClientAccount &Client);

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_REQUESTS_REVOCATION_CHECK_H
