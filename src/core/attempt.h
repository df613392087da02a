#ifndef SISKINSTAGE_CORE_ATTEMPT_H
#define SISKINSTAGE_CORE_ATTEMPT_H

#include "core/observation.h"
#include "core/repeatability.h"
#include "siskinstage/outcome.h"

#include <string>

namespace siskinstage {

/// How one try at a target ended without an answer for the caller.
struct AttemptFailure {
  enum class Kind {
    ConnectFailed, ///< No connection came about.
    SendFailed,    ///< The connection broke while the request was sent.
    NoResponse,      ///< It broke or timed out before a whole answer head.
    IncompleteResponse,     ///< The answer broke off.
    InvalidResponse,     ///< The answer is malformed or belongs to another request.
    Refused,       ///< The target answered with its own not-run mark.
    DeadlinePassed,  ///< The deadline passed before the first byte.
  };
  Kind What = Kind::ConnectFailed;
  bool BytesSent = false; ///< At least one byte of the request left.
  std::string Reason;
};

/// Short lower-case name of \p What, for logs and metrics.
const char *attemptFailureName(AttemptFailure::Kind What);

/// What the failure shows of the target.
/// \param TimedOut   no answer came before the request's deadline.
/// \param WasOverdue a sound target would have answered sooner.
Evidence failureEvidence(AttemptFailure::Kind What, bool TimedOut,
                         bool WasOverdue);

/// What the failure proves about this one try.
Outcome provedBy(const AttemptFailure &Failure);

/// What stands against another try.
struct RetryCircumstances {
  int Attempts = 0; ///< Tries made so far.
  int MaxAttempts = 0;
  bool BodyReplayable = false; ///< The whole body is still held.
  bool DeadlineLeft = false;
  bool TargetLeft = false; ///< A target that was not tried is admitted.
};

/// Whether the request may be tried again after \p Failure, the retry budget
/// aside. A request that may run at most once is tried again only after a
/// proved not-run.
bool mayRetry(const AttemptFailure &Failure, Repeatability Kind,
              const RetryCircumstances &Now);

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_ATTEMPT_H
