#ifndef SISKINSTAGE_CORE_TARGETS_RATE_LIMIT_H
#define SISKINSTAGE_CORE_TARGETS_RATE_LIMIT_H

#include "core/targets/rate_share.h"
#include "siskinstage/strong_id.h"
#include "siskinstage/units.h"

#include <cstdint>
#include <optional>

namespace siskinstage {

/// What the nodes tell each other about the rate limit of a target.
struct RateLimitState {
  /// Incremented with each change of the limit, so that a message that arrives
  /// late does not undo a later change.
  std::uint64_t Version = 0;
  double PerSecond = 0; ///< Requests from all nodes together; 0 for no limit.
  bool operator==(const RateLimitState &) const = default;
};

/// A node that has heard of a limit from the target.
struct RateLimitSource {
  Address Node;
  bool InCharge = false; ///< See isInCharge().
};

/// The rate limit of one target as one node knows it, and a token bucket with
/// the node's share of it. While nothing is heard of the limit, since the nodes
/// in charge have no requests or get no responses, the serving nodes take turns
/// instead, and the first one that gets a response takes over a part of the
/// limit. After the limit has ended, the target's share of the load grows
/// slowly to its usual one.
class RateLimit {
public:
  /// Adds a response of the target. The limit ends with
  /// config::RateLimitEndResponses successive responses that state none, to
  /// requests sent after the limit was last heard of.
  /// \param Stated the limit that it states, if any.
  /// \param Sent   when its request was sent.
  /// \param Self   this node.
  /// \returns the state to tell the other nodes, if it has changed or is due
  ///          to be repeated.
  std::optional<RateLimitState> hear(std::optional<double> Stated, Instant Sent,
                                     const RateLimitSource &Self, Instant Now);
  /// Adds the state that another node has told. \returns whether the
  /// limit changed.
  bool adopt(const RateLimitState &Theirs, const RateLimitSource &From,
             Instant Now);
  /// Ends the limit if it was not heard of for a time.
  void expire(Instant Now);
  /// Sets this node's share. A node that had none starts with an empty bucket:
  /// the node that had it before may have used it.
  void setShare(const RateShare &New, Instant Now);
  /// Whether the limit has changed since the last setShare().
  [[nodiscard]] bool needsShare() const { return this->ShareOutdated; }

  [[nodiscard]] bool limited() const { return this->State.PerSecond > 0; }
  [[nodiscard]] const RateLimitState &state() const { return this->State; }
  [[nodiscard]] const RateShare &share() const { return this->Share; }
  /// When the limit was last heard of.
  [[nodiscard]] Instant heardAt() const { return this->HeardAt; }
  /// The node that has taken over the limit; empty if none has.
  [[nodiscard]] const Address &holder() const { return this->Holder; }
  /// Whether this node may send the target a request.
  [[nodiscard]] bool allows(Instant Now) const;
  /// Takes one request from this node's share.
  void take(Instant Now);
  /// Fraction of its usual load that the target may get: below 1 for a time
  /// after the limit has ended.
  [[nodiscard]] double loadShare(Instant Now) const;

private:
  RateLimitState State;
  Instant HeardAt;
  Instant ToldAt; ///< When the other nodes were last told, by any node.
  Instant EndedAt{};
  bool HasEnded = false;
  int ResponsesWithout = 0; ///< Successive ones that state no limit.
  RateShare Share;
  bool ShareOutdated = false;
  double Tokens = 0;
  Instant RefilledAt;
  Address Holder;
  Instant HolderSince;
  /// The last turn that this node has used, counted from HeardAt.
  std::optional<std::uint64_t> UsedTurn;

  /// Records that a node has heard of the limit.
  void heardBy(const RateLimitSource &Source, Instant Now);
  /// Whether nothing was heard of the limit for long.
  [[nodiscard]] bool silent(Instant Now) const;
  /// The current turn while the nodes take turns.
  [[nodiscard]] std::uint64_t turn(Instant Now) const;
  [[nodiscard]] Duration silenceTime() const;
  void change(const RateLimitState &New, Instant Now);
  [[nodiscard]] double tokensAt(Instant Now) const;
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_TARGETS_RATE_LIMIT_H
