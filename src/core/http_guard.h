#ifndef SISKINSTAGE_CORE_HTTP_GUARD_H
#define SISKINSTAGE_CORE_HTTP_GUARD_H

#include "core/http_refusal.h"

#include <string>
#include <string_view>

namespace siskinstage {

/// Whether a message head starts with a request line or a status line.
enum class HeadKind { Request, Answer };

/// Length of the head at the start of \p Bytes, with its empty line.
/// \returns 0 if the empty line has not arrived yet.
std::size_t headLength(std::string_view Bytes);

/// Checks a message head against RFC 9112 and writes it anew: CRLF line ends,
/// folded lines joined, no space round a field's value. What a recipient may
/// not tolerate (bare CR, NUL, a space before the colon, an empty name) is
/// refused, as is a head with too many or too long fields.
/// \param Raw the head up to and with its empty line.
HttpResult<std::string> normalizeHead(std::string_view Raw, HeadKind Kind);

/// Checks a request target in origin form: no control character, fragment or
/// dot segment, plain or percent-encoded.
HttpResult<std::string> checkedPath(std::string_view Target);

/// True for a non-empty word of RFC 9110 token characters.
bool isToken(std::string_view Text);

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_HTTP_GUARD_H
