#ifndef SISKINSTAGE_CORE_FLEET_CONFIRMATION_POLL_H
#define SISKINSTAGE_CORE_FLEET_CONFIRMATION_POLL_H

#include "core/fleet/steering.h"
#include "siskinstage/units.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace siskinstage {

/// \p Period shortened in proportion if \p Limit is lower than the revocation
/// limit that the periods fit.
Duration confirmationPeriod(Duration Period, Duration Limit);

/// The nodes that one node asks for the age of their confirmed view, in order
/// of preference, and how often.
struct PollPlan {
  std::vector<Address> Peers;
  Duration Period{};
};

/// Plans the polls of the node at \p Self in \p Domain. An entry node polls
/// watchers; any other node polls the entry nodes of its failure domain, and
/// watchers while these are silent.
/// \param Seed differs from node to node, to spread the polls over the peers.
PollPlan planPolls(const Address &Self, const FailureDomain &Domain,
                   const std::vector<SteeringNode> &Watchers,
                   const std::vector<SteeringNode> &Entries, Duration Limit,
                   std::uint64_t Seed);

/// Decides when a node polls which peer, and matches responses to requests. The
/// load: each node of a fleet of thousands learns every second how old its
/// configuration is, with one datagram each way.
class ConfirmationPoll {
public:
  struct Request {
    Address Peer;
    std::uint64_t Sequence = 0;
  };

  /// \param FirstSequence random, so that a response to a former process at the
  ///        same address matches no request.
  explicit ConfirmationPoll(std::uint64_t FirstSequence)
      : NextSequence(FirstSequence) {}

  [[nodiscard]] bool due(Instant Now) const { return Now >= this->NextPoll; }
  /// The next request, if one is due and there is a peer. A peer that has not
  /// responded to the one before is followed by the next peer.
  std::optional<Request> next(const PollPlan &Plan, Instant Now);
  /// Matches a response. \returns when its request was sent, or nothing if no
  /// request awaits it.
  std::optional<Instant> receive(const Address &From, std::uint64_t Sequence);
  /// Has the next request sent to another peer.
  void changePeer() { this->PeerFailed = true; }

private:
  struct SentRequest {
    Request Sent;
    Instant At;
  };

  std::uint64_t NextSequence;
  Instant NextPoll;
  std::deque<SentRequest> Unanswered; ///< The latest ones.
  std::size_t PeerIndex = 0;          ///< Of the current peer, in the plan.
  /// When the most preferred peer is tried again.
  Instant PreferredAgainAt;
  bool PeerFailed = false; ///< The current peer is silent or not up to date.
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_FLEET_CONFIRMATION_POLL_H
