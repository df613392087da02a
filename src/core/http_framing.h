#ifndef SISKINSTAGE_CORE_HTTP_FRAMING_H
#define SISKINSTAGE_CORE_HTTP_FRAMING_H

#include "core/http_refusal.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace siskinstage {

/// The message has no body.
struct NoBody {};

/// The body has a stated length.
struct FixedBody {
  std::uint64_t Length = 0; ///< Bytes.
};

/// The body comes in chunks.
struct ChunkedBody {};

/// How the end of a message's body is known. A body that ends with its
/// connection is not among them: nothing tells its end from a cut.
using BodyFraming = std::variant<NoBody, FixedBody, ChunkedBody>;

/// The header values that decide the framing.
struct FramingFields {
  std::vector<std::string> ContentLength;
  std::vector<std::string> TransferEncoding;
  bool Http10 = false;
};

/// Framing of a request after RFC 9112, section 6; conflicting or malformed
/// lengths, a length beside chunks and unknown codings are refused.
HttpResult<BodyFraming> requestFraming(const FramingFields &Fields);

/// Framing of an answer to a request with \p Method.
HttpResult<BodyFraming> answerFraming(const FramingFields &Fields,
                                      const std::string &Method, int Status);

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_HTTP_FRAMING_H
