#ifndef SISKINSTAGE_CORE_REQUESTS_ATTEMPT_H
#define SISKINSTAGE_CORE_REQUESTS_ATTEMPT_H

#include "core/requests/repeatability.h"
#include "core/targets/observation.h"
#include "siskinstage/outcome.h"

#include <string>

namespace siskinstage {

/// How one attempt at a target ended without a response for the caller.
struct AttemptFailure {
  enum class Kind {
    ConnectFailed, ///< No connection was established.
    SendFailed,    ///< The connection broke while the request was sent.
    NoResponse,    ///< It broke or timed out before a complete response head.
    IncompleteResponse, ///< The response was cut off.
    InvalidResponse, ///< The response is malformed, belongs to another request,
                     ///< or has a retryable status.
    Refused,         ///< The target marked its response as not run.
    DeadlinePassed,  ///< The deadline passed before the first byte was sent.
  };
  Kind Cause = Kind::ConnectFailed;
  bool BytesSent = false; ///< At least one byte of the request was sent.
  std::string Reason;
};

/// Short lower-case name of \p Kind, for logs and metrics.
const char *attemptFailureName(AttemptFailure::Kind Kind);

/// The evidence of a failure about the health of the target.
/// \param TimedOut   no response was received before the request's deadline.
/// \param WasOverdue a healthy target would have responded sooner.
Evidence failureEvidence(AttemptFailure::Kind Kind, bool TimedOut,
                         bool WasOverdue);

/// Whether the failure proves that this attempt was not run.
Outcome provenOutcome(const AttemptFailure &Failure);

/// Conditions of a retry.
struct RetryConditions {
  int Attempts = 0; ///< Attempts made so far.
  int MaxAttempts = 0;
  bool BodyReplayable = false; ///< Complete body is buffered or unsent.
  bool DeadlineLeft = false;   ///< The deadline has not passed.
  bool TargetLeft = false;     ///< The service has a target that was not tried.
};

/// Whether the request may be retried after \p Failure, apart from the retry
/// budget. A request that may run at most once is retried only if the failure
/// proves that it was not run.
bool mayRetry(const AttemptFailure &Failure, Repeatability Kind,
              const RetryConditions &Conditions);

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_REQUESTS_ATTEMPT_H
