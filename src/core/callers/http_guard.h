#ifndef SISKINSTAGE_CORE_CALLERS_HTTP_GUARD_H
#define SISKINSTAGE_CORE_CALLERS_HTTP_GUARD_H

#include "core/callers/http_refusal.h"

#include <string>
#include <string_view>

namespace siskinstage {

/// Whether a message head starts with a request line or a status line.
enum class HeadKind { Request, Response };

/// Finds the end of the message head at the start of \p Bytes.
/// \returns its length including the empty line, or 0 if it is incomplete.
std::size_t headLength(std::string_view Bytes);

/// Validates a message head against RFC 9112 and normalizes it: lines end in
/// CRLF, folded lines are joined, and whitespace around field values is
/// removed. Rejects what a recipient must not accept (bare CR, NUL, whitespace
/// before the colon, an empty field name) and heads with too many or too long
/// fields.
/// \param Raw the head including its empty line.
HttpResult<std::string> normalizeHead(std::string_view Raw, HeadKind Kind);

/// Validates a request target in origin form: it must have no fragment, no
/// backslash and no dot segment, be it plain or percent-encoded.
/// \returns its path, without the query.
HttpResult<std::string> checkedPath(std::string_view Target);

/// Whether \p Text is a token of RFC 9110: not empty, token characters only.
bool isToken(std::string_view Text);

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_CALLERS_HTTP_GUARD_H
