#ifndef SISKINSTAGE_NODE_DIALECT_H
#define SISKINSTAGE_NODE_DIALECT_H

#include "node/header_names.h"

#include <string>

namespace siskinstage {

/// Header names and conventions of the interface to callers and targets. The
/// defaults are the project's own interface; an empty name means that the
/// interface has no such header.
struct Dialect {
  std::string RequestId = header::RequestId;
  /// An id that the caller gives its request is forwarded unchanged.
  bool KeepsCallerRequestId = false;
  std::string Deadline = header::Deadline; ///< Remaining time in milliseconds.
  std::string Repeatable = header::Repeatable;
  std::string Account = header::Account;
  std::string ApiKey = header::ApiKey;
  std::string AccountName = header::AccountName; ///< Set towards targets.
  std::string IdempotencyKey = header::IdempotencyKey;
  std::string Outcome = header::Outcome;
  /// Header whose presence in a target's response means that the request was
  /// not run; if empty, the outcome header tells it.
  std::string NotRunHeader;
  std::string Leaving = header::Leaving;
  std::string LeavingValue = "yes";        ///< Of a target that leaves.
  std::string InFlight = header::InFlight; ///< Requests running at a target.
  /// Load of a target: its running requests, waiting requests and slots.
  std::string Load;
  /// Requests per second that a target accepts from all nodes together.
  std::string RateLimit = header::RateLimit;
  /// Seconds for which a target wants no request from this node.
  std::string RetryAfter = "Retry-After";
  /// Header that names the only target which may run the request.
  std::string ExpectTarget;
  /// Header that every response to a request that was run must have.
  std::string Seal;
  /// A response with Content-Encoding does not come from the target itself.
  bool RejectsEncodedBodies = false;
  /// The node adds itself to the Via header.
  bool AddsVia = true;
  /// Retry-After may be a fractional number of seconds.
  bool FractionalRetryAfter = false;
  /// The statuses 408, 421, 429 and 503 promise that the request was not run: a
  /// response whose outcome is unknown must not have them.
  bool StatusImpliesNotRun = false;
};

/// The project's own interface.
inline const Dialect DefaultDialect;

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_DIALECT_H
