#include "core/attempt.h"

namespace siskinstage {

const char *outcomeName(Outcome Value) {
  return Value == Outcome::NotRun ? "not-run" : "unknown";
}

const char *attemptFailureName(AttemptFailure::Kind What) {
  switch (What) {
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

Evidence failureEvidence(AttemptFailure::Kind What, bool TimedOut,
                         bool WasOverdue) {
  if (What == AttemptFailure::Kind::ConnectFailed)
    return Evidence::ConnectFailed;
  if (!TimedOut)
    return Evidence::Failure;
  return WasOverdue ? Evidence::Timeout : Evidence::ShortDeadlineTimeout;
}

Outcome provedBy(const AttemptFailure &Failure) {
  if (Failure.What == AttemptFailure::Kind::Refused)
    return Outcome::NotRun;
  return Failure.BytesSent ? Outcome::Unknown : Outcome::NotRun;
}

bool mayRetry(const AttemptFailure &Failure, Repeatability Kind,
              const RetryCircumstances &Now) {
  if (Failure.What == AttemptFailure::Kind::DeadlinePassed)
    return false;
  if (Now.Attempts >= Now.MaxAttempts || !Now.BodyReplayable ||
      !Now.DeadlineLeft || !Now.TargetLeft)
    return false;
  return Kind == Repeatability::Repeatable ||
         provedBy(Failure) == Outcome::NotRun;
}

} // namespace siskinstage
