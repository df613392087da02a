#ifndef SISKINSTAGE_CORE_CALLERS_HTTP_FRAMING_H
#define SISKINSTAGE_CORE_CALLERS_HTTP_FRAMING_H

#include "core/callers/http_refusal.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace siskinstage {

/// The message has no body.
struct NoBody {};

/// The body has a length stated by Content-Length.
struct FixedBody {
  std::uint64_t Length = 0; ///< Bytes.
};

/// The body uses the chunked transfer coding.
struct ChunkedBody {};

/// How the end of a message's body is determined. A body that is delimited by
/// the close of its connection is not supported: a truncated one could not be
/// told from a complete one.
using BodyFraming = std::variant<NoBody, FixedBody, ChunkedBody>;

/// The header values that determine the framing.
struct FramingFields {
  std::vector<std::string> ContentLength;
  std::vector<std::string> TransferEncoding;
  bool Http10 = false;
};

/// Determines the framing of a request according to RFC 9112, section 6.
/// Rejects conflicting, malformed or excessive lengths, Content-Length together
/// with Transfer-Encoding, and codings other than chunked.
HttpResult<BodyFraming> requestFraming(const FramingFields &Fields);

/// Determines the framing of the response to a request with \p Method. A fault
/// has status 502.
HttpResult<BodyFraming> responseFraming(const FramingFields &Fields,
                                        const std::string &Method, int Status);

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_CALLERS_HTTP_FRAMING_H
