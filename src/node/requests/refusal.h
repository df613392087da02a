#ifndef SISKINSTAGE_NODE_REQUESTS_REFUSAL_H
#define SISKINSTAGE_NODE_REQUESTS_REFUSAL_H

#include "siskinstage/error.h"
#include "siskinstage/outcome.h"
#include "siskinstage/units.h"

#include <optional>
#include <string>

namespace siskinstage {

/// A response by which the node itself rejects a request.
struct Refusal {
  int Status = 503;
  Outcome RequestOutcome = Outcome::NotRun;
  Error Cause;
  std::optional<Duration> RetryAfter;
  /// The caller is to use another node.
  bool ClosesConnection = false;
};

/// Returns the status for \p RequestOutcome in a dialect where 503 promises
/// that the request was not run, while 502 and 504 promise nothing.
int statusForOutcome(int Status, Outcome RequestOutcome);

/// Draws a value for Retry-After at random, so that callers rejected together
/// do not retry together.
Duration randomRetryAfter();

/// Returns the advice to the caller whether it may send the request again.
/// \param Keyed the request has an idempotency key.
const char *retryAdvice(const Refusal &Refused, bool Keyed);

/// Returns the JSON body of the response for \p Refused.
std::string refusalBody(const Refusal &Refused, bool Keyed);

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_REQUESTS_REFUSAL_H
