#ifndef SISKINSTAGE_NODE_CALLER_REQUEST_H
#define SISKINSTAGE_NODE_CALLER_REQUEST_H

#include "core/http_framing.h"
#include "net/http_io.h"
#include "node/dialect.h"
#include "siskinstage/strong_id.h"
#include "siskinstage/units.h"

#include <Poco/Net/HTTPRequest.h>
#include <optional>
#include <string>

namespace siskinstage {

/// A caller's request after its head was read and checked.
struct CallerRequest {
  Poco::Net::HTTPRequest Head;
  RequestId Id;
  std::string Host; ///< Lower case, without port.
  std::string Path; ///< Without query.
  BodyFraming Framing;
  bool Http10 = false;
  bool ExpectContinue = false;
  AccountName Account;
  Instant Arrived;
  std::optional<Millis> TimeLeft; ///< As the caller stated it.
  std::optional<std::string> RepeatableValue;
  std::optional<std::string> Key;
  int Hops = 0; ///< Nodes that have forwarded it so far.
};

/// Checks \p Head and takes its parts apart; a fault names the header.
HttpResult<CallerRequest>
readCallerRequest(const Poco::Net::HTTPRequest &Head, RequestId Id,
                  Instant Arrived, const Dialect &Speak = DefaultDialect);

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_CALLER_REQUEST_H
