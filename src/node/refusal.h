#ifndef SISKINSTAGE_NODE_REFUSAL_H
#define SISKINSTAGE_NODE_REFUSAL_H

#include "siskinstage/error.h"
#include "siskinstage/outcome.h"
#include "siskinstage/units.h"

#include <optional>
#include <string>

namespace siskinstage {

/// An answer that the node makes itself.
struct Refusal {
  int Status = 503;
  Outcome What = Outcome::NotRun;
  Error Cause;
  std::optional<Duration> RetryAfter;
};

/// The status for an outcome where 503 promises that nothing was run, and 502
/// and 504 promise nothing.
int truthfulStatus(int Status, Outcome What);

/// A time to come back, spread so that callers refused together do not return
/// together.
Duration spreadRetryAfter();

/// Advice to the caller that goes with a refusal: what it may send again.
const char *retryAdvice(const Refusal &Refused, bool Keyed);

/// JSON text of the body of a refusal.
std::string refusalBody(const Refusal &Refused, bool Keyed);

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_REFUSAL_H
