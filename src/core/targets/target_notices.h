#ifndef SISKINSTAGE_CORE_TARGETS_TARGET_NOTICES_H
#define SISKINSTAGE_CORE_TARGETS_TARGET_NOTICES_H

#include "core/targets/rate_limit.h"
#include "core/targets/target_notice.h"

#include <optional>

namespace siskinstage {

/// What one process of a target has asked of this node and of the fleet, as
/// this node knows it. Whatever sends a request to the target asks here first.
/// That a target leaves is only passed on: TargetHealth keeps it, together with
/// what the records and the instance list say.
class TargetNotices {
public:
  /// Effect of a response.
  struct Effect {
    bool RateLimitChanged = false;
    bool BackOffStarted = false;
    bool Leaving = false; ///< The response states that the target leaves.
    /// The response states an invalid value, for the first time.
    bool FirstFault = false;
    /// State of the rate limit to tell the other nodes.
    std::optional<RateLimitState> Tell;
  };

  /// Adds a response of the target.
  /// \param Sent   when its request was sent.
  /// \param Self   this node.
  /// \param NotRun the target rejected the request. Such a response may come
  ///               from a part of the target that does not know its limit, and
  ///               does not end it.
  Effect hear(const StatedNotices &Stated, Instant Sent,
              const RateLimitSource &Self, bool NotRun, Instant Now);
  /// Adds the state of the rate limit that another node has told.
  /// \returns whether the limit changed.
  bool adopt(const RateLimitState &Theirs, const RateLimitSource &From,
             Instant Now) {
    return this->Limit.adopt(Theirs, From, Now);
  }
  /// Ends what is outdated.
  void expire(Instant Now) { this->Limit.expire(Now); }

  /// Whether this node may send the target a request.
  [[nodiscard]] bool allows(Instant Now) const;
  /// Records that a request is sent.
  void take(Instant Now) { this->Limit.take(Now); }
  /// Time until the target may get a request, apart from its rate limit.
  [[nodiscard]] Duration backOffLeft(Instant Now) const;
  /// Whether a rate limit or a time to be left alone is in force.
  [[nodiscard]] bool restricts(Instant Now) const;
  [[nodiscard]] RateLimit &rateLimit() { return this->Limit; }
  [[nodiscard]] const RateLimit &rateLimit() const { return this->Limit; }

private:
  RateLimit Limit;
  Instant BackOffEnd;
  bool FaultSeen = false;
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_TARGETS_TARGET_NOTICES_H
