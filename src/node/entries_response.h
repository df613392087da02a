#ifndef SISKINSTAGE_NODE_ENTRIES_RESPONSE_H
#define SISKINSTAGE_NODE_ENTRIES_RESPONSE_H

#include "core/http_refusal.h"
#include "core/stored_response.h"
#include "node/caller_request.h"
#include "node/snapshot.h"

namespace siskinstage {

struct NodeContext;

/// Path at which callers ask which of the fleet's addresses to use.
inline constexpr const char *EntriesPath = "/.siskinstage/v1/entries";

/// Answers ?service=S&account=A with the entry instances for this service and
/// account, and a prefix for idempotency keys that the first of them owns. A
/// node that is not among them asks one that is.
HttpResult<StoredResponse> entriesResponse(NodeContext &Context,
                                           const CallerRequest &Request,
                                           const Snapshot &Now);

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_ENTRIES_RESPONSE_H
