#ifndef SISKINSTAGE_NODE_REQUESTS_OWNER_FORWARD_H
#define SISKINSTAGE_NODE_REQUESTS_OWNER_FORWARD_H

#include "node/callers/caller_request.h"
#include "node/callers/request_body.h"
#include "node/requests/refusal.h"
#include "node/snapshot.h"
#include "node/targets/target_exchange.h"

#include "siskinstage/key_digest.h"

#include <memory>
#include <optional>
#include <tl/expected.hpp>
#include <vector>

namespace siskinstage {

struct NodeContext;

/// Forwards a request to the node that owns its key: directly, or through
/// another node (a relay) if the direct path fails. Forwards may be retried,
/// since the owner executes the request of a key at most once.
class OwnerForward {
public:
  /// \param ApiKey digest of the request's API key, which is not forwarded.
  OwnerForward(NodeContext &Context, const CallerRequest &Request,
               RequestBody &Body, const Snapshot &Current, Instant Deadline,
               const std::optional<KeyDigest> &ApiKey);

  /// \returns the owner's response, or a refusal with an unknown outcome.
  tl::expected<std::unique_ptr<TargetExchange>, Refusal>
  run(const Address &Owner);

private:
  NodeContext &Context;
  const CallerRequest &Request;
  RequestBody &Body;
  const Snapshot &Current;
  Instant Deadline;
  std::optional<KeyDigest> ApiKey;
  std::string LastReason; ///< Why the last attempt failed.

  /// Fleet addresses of the nodes to try as relays.
  [[nodiscard]] std::vector<Address> relays(const Address &Owner) const;
  /// Forwards the request to the node at \p Next. On failure returns null and
  /// sets LastReason.
  std::unique_ptr<TargetExchange> forwardTo(const Address &Next);
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_REQUESTS_OWNER_FORWARD_H
