#ifndef SISKINSTAGE_NET_COMPRESSION_H
#define SISKINSTAGE_NET_COMPRESSION_H

#include "siskinstage/error.h"

#include <string>

namespace siskinstage {

/// Name of the encoding in HTTP headers: zlib's format (RFC 9110, 8.4.1.2).
inline constexpr const char *DeflateEncoding = "deflate";

/// Compresses \p Text, which is not empty, for speed rather than for size.
std::string deflate(const std::string &Text);

/// Decompresses \p Bytes.
/// \param MaxBytes a longer result is an error, with Error::TooLong set.
/// \param Peer the source of the bytes, for the error.
Result<std::string> inflate(const std::string &Bytes, std::size_t MaxBytes,
                            const std::string &Peer);

} // namespace siskinstage

#endif // SISKINSTAGE_NET_COMPRESSION_H
