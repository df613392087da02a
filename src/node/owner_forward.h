#ifndef SISKINSTAGE_NODE_OWNER_FORWARD_H
#define SISKINSTAGE_NODE_OWNER_FORWARD_H

#include "node/caller_request.h"
#include "node/refusal.h"
#include "node/request_body.h"
#include "node/snapshot.h"
#include "node/target_exchange.h"

#include <memory>
#include <tl/expected.hpp>
#include <vector>

namespace siskinstage {

struct NodeContext;

/// Passes a request to the node that owns its key: directly, or over another
/// node if the direct path is cut. The owner dispatches a key at most once, so
/// that a forward may be tried again.
class OwnerForward {
public:
  OwnerForward(NodeContext &Context, const CallerRequest &Request,
               RequestBody &Body, const Snapshot &Now, Instant Deadline);

  /// The owner's answer, or why it is not known what became of the request.
  tl::expected<std::unique_ptr<TargetExchange>, Refusal>
  run(const Address &Owner);

private:
  NodeContext &Context;
  const CallerRequest &Request;
  RequestBody &Body;
  const Snapshot &Now;
  Instant Deadline;
  std::string LastReason;

  [[nodiscard]] std::vector<Address> relays(const Address &Owner) const;
  std::unique_ptr<TargetExchange> tryVia(const Address &Next);
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_OWNER_FORWARD_H
