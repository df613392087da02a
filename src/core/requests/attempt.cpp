#include "core/requests/attempt.h"

namespace siskinstage {

const char *outcomeName(Outcome Value) {
  return Value == Outcome::NotRun ? "not-run" : "unknown";
}

const char *attemptFailureName(AttemptFailure::Kind Kind) {
  switch (Kind) {
  case AttemptFailure::Kind::ConnectFailed:
    return "connect-failed";
  case AttemptFailure::Kind::SendFailed:
    return "send-failed";
  case AttemptFailure::Kind::NoResponse:
    return "no-answer";
  case AttemptFailure::Kind::IncompleteResponse:
    return "cut-answer";
  case AttemptFailure::Kind::InvalidResponse:
    return "bad-answer";
  case AttemptFailure::Kind::Refused:
    return "refused";
  case AttemptFailure::Kind::DeadlinePassed:
    return "deadline-past";
  }
  return "unknown-failure";
}

Evidence failureEvidence(AttemptFailure::Kind Kind, bool TimedOut,
                         bool WasOverdue) {
  if (Kind == AttemptFailure::Kind::ConnectFailed)
    return Evidence::ConnectFailed;
  if (!TimedOut)
    return Evidence::Failure;
  return WasOverdue ? Evidence::Timeout : Evidence::ShortDeadlineTimeout;
}

Outcome provenOutcome(const AttemptFailure &Failure) {
  if (Failure.Cause == AttemptFailure::Kind::Refused)
    return Outcome::NotRun;
  return Failure.BytesSent ? Outcome::Unknown : Outcome::NotRun;
}

bool mayRetry(const AttemptFailure &Failure, Repeatability Kind,
              const RetryConditions &Conditions) {
  if (Failure.Cause == AttemptFailure::Kind::DeadlinePassed)
    return false;
  if (Conditions.Attempts >= Conditions.MaxAttempts ||
      !Conditions.BodyReplayable || !Conditions.DeadlineLeft ||
      !Conditions.TargetLeft)
    return false;
  return Kind == Repeatability::Repeatable ||
         provenOutcome(Failure) == Outcome::NotRun;
}

} // namespace siskinstage
