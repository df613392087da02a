#ifndef SISKINSTAGE_NODE_FLEET_ENTRIES_RESPONSE_H
#define SISKINSTAGE_NODE_FLEET_ENTRIES_RESPONSE_H

#include "core/callers/http_refusal.h"
#include "core/requests/stored_response.h"
#include "node/callers/caller_request.h"
#include "node/snapshot.h"

namespace siskinstage {

struct NodeContext;

/// Path from which callers get the addresses of the fleet that they should use.
inline constexpr const char *EntriesPath = "/.siskinstage/v1/entries";

/// Responds to ?service=S&account=A with the entries for this service and
/// account, and with a prefix for idempotency keys that the first of them owns.
/// A node that is not among the entries forwards the request to one that is.
HttpResult<StoredResponse> entriesResponse(NodeContext &Context,
                                           const CallerRequest &Request,
                                           const Snapshot &Current);

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_FLEET_ENTRIES_RESPONSE_H
