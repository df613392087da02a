#ifndef SISKINSTAGE_NODE_CALLERS_CALLER_REQUEST_H
#define SISKINSTAGE_NODE_CALLERS_CALLER_REQUEST_H

#include "core/callers/http_framing.h"
#include "net/http_io.h"
#include "node/dialect.h"
#include "siskinstage/strong_id.h"
#include "siskinstage/units.h"

#include <Poco/Net/HTTPRequest.h>
#include <optional>
#include <string>

namespace siskinstage {

/// Name of the account of requests that state none.
inline constexpr const char *AnonymousAccount = "anonymous";

/// A caller's request whose head was read and validated.
struct CallerRequest {
  Poco::Net::HTTPRequest Head;
  RequestId Id;
  std::string Host; ///< Lower case, without port.
  std::string Path; ///< Without query.
  BodyFraming Framing;
  bool Http10 = false;
  bool ExpectContinue = false;
  AccountName Account; ///< The one that the request states.
  Instant Arrived;
  std::optional<Millis> TimeLeft; ///< Remaining time that the caller stated.
  std::optional<std::string> RepeatableValue; ///< Of the Repeatable header.
  std::optional<std::string> Key;             ///< Idempotency key.
  int Hops = 0; ///< Number of nodes that have forwarded it.
};

/// Validates \p Head and extracts its parts; a fault names the header.
HttpResult<CallerRequest>
readCallerRequest(const Poco::Net::HTTPRequest &Head, RequestId Id,
                  Instant Arrived,
                  const Dialect &HeaderDialect = DefaultDialect);

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_CALLERS_CALLER_REQUEST_H
