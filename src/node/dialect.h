#ifndef SISKINSTAGE_NODE_DIALECT_H
#define SISKINSTAGE_NODE_DIALECT_H

#include "node/header_names.h"

#include <string>

namespace siskinstage {

/// Header names and customs of the interface to callers and targets. The
/// defaults are the project's own; an empty name means that the interface has
/// no such header.
struct Dialect {
  std::string RequestId = header::RequestId;
  /// The caller names its request: the id is passed on as it came.
  bool CallerNamesRequest = false;
  std::string Deadline = header::Deadline; ///< Milliseconds left.
  std::string Repeatable = header::Repeatable;
  std::string Account = header::Account;
  std::string IdempotencyKey = header::IdempotencyKey;
  std::string Outcome = header::Outcome;
  /// A target's answer with this header says that the request was not run; if
  /// empty, the outcome header says so.
  std::string NotRunMark;
  std::string Leaving = header::Leaving;
  std::string InFlight = header::InFlight; ///< A target's running requests.
  /// A target's load, as running and waiting requests and slots.
  std::string Load;
  /// Names the target that alone may run the request.
  std::string ExpectTarget;
  /// Header that every answer to a request that ran must carry.
  std::string Seal;
  /// Answers with a Content-Encoding are not the target's own.
  bool PlainBodies = false;
  /// The node adds itself to Via.
  bool AddsVia = true;
  /// Seconds in Retry-After may have a fraction.
  bool FractionalRetryAfter = false;
  /// Statuses 408, 421, 429 and 503 promise that the request was not run, so
  /// that an answer whose outcome is unknown never carries them.
  bool StatusPromises = false;
};

/// The project's own interface.
inline const Dialect OwnDialect;

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_DIALECT_H
