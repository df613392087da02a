#ifndef SISKINSTAGE_NODE_FLEET_CONFIRMATION_EXCHANGE_H
#define SISKINSTAGE_NODE_FLEET_CONFIRMATION_EXCHANGE_H

#include "core/fleet/confirmation_poll.h"
#include "core/fleet/gossip_message.h"

#include <optional>
#include <utility>

namespace siskinstage {

struct NodeContext;
struct Snapshot;

/// Part of the gossip thread: polls other nodes for the age of their confirmed
/// view, responds to such polls, and withdraws this node as an entry while its
/// own view is too old.
class ConfirmationExchange {
public:
  /// \param Seed random, see ConfirmationPoll.
  ConfirmationExchange(NodeContext &Context, std::uint64_t Seed)
      : Context(Context), Seed(Seed), Poll(Seed) {}

  /// \returns the request to send at \p Now, with its destination.
  std::optional<std::pair<Address, ConfirmationRequest>> tick(Instant Now);
  /// \returns the response to \p Request.
  ConfirmationResponse respond(const ConfirmationRequest &Request);
  void handle(const ConfirmationResponse &Response, const Member &From);
  /// Whether withdrawn() of the view changed since the last call.
  bool takeEntryChange() { return std::exchange(this->EntryChanged, false); }

private:
  NodeContext &Context;
  std::uint64_t Seed;
  ConfirmationPoll Poll;
  Instant LastResponse;
  Instant LimitedSince; ///< The revocation of keys has a limit since then.
  std::optional<bool> Serving; ///< As last logged.
  bool EntryChanged = false;

  /// Logs when the view becomes too old to serve requests with an API key, and
  /// when they are served again.
  void updateServing(Instant Now, Duration Limit);
  void updateWithdrawn(Instant Now, Duration Limit);
  void setWithdrawn(bool Withdrawn);
  /// Whether this node reads the store itself and the reads confirm its view.
  [[nodiscard]] bool confirmedByReads(Instant Now, Duration Limit) const;
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_FLEET_CONFIRMATION_EXCHANGE_H
