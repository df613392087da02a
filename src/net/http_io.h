#ifndef SISKINSTAGE_NET_HTTP_IO_H
#define SISKINSTAGE_NET_HTTP_IO_H

#include "core/callers/chunk_decoder.h"
#include "core/callers/http_framing.h"
#include "core/callers/http_guard.h"
#include "net/tcp_connection.h"

#include <Poco/Net/HTTPMessage.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <string>
#include <string_view>
#include <variant>

namespace siskinstage {

/// Why a message could not be read: a fault of the connection, or a malformed
/// message.
using ReadFault = std::variant<ConnectionFault, HttpRefusal>;
template <typename T> using ReadResult = tl::expected<T, ReadFault>;

/// Describes \p Fault for logs and responses.
std::string readFaultText(const ReadFault &Fault);

/// Reads one message head and normalizes it, see normalizeHead. Empty lines
/// before a request are skipped.
/// \param FirstByte deadline for the first byte of the head.
/// \param HeadTime time for the rest of the head, from its first byte.
/// \param Watched see TcpConnection::fill.
ReadResult<std::string> readHead(TcpConnection &From, HeadKind Kind,
                                 Instant FirstByte, Duration HeadTime,
                                 const TcpConnection *Watched = nullptr);

/// Parses a head that readHead returned.
Poco::Net::HTTPRequest parseRequest(std::string_view Head);
Poco::Net::HTTPResponse parseResponse(std::string_view Head);

/// Collects the header values that determine the framing of \p Message.
FramingFields framingFields(const Poco::Net::HTTPMessage &Message);

/// Returns all values of the header \p Name, in order.
std::vector<std::string> headerValues(const Poco::Net::HTTPMessage &Message,
                                      const std::string &Name);

/// Removes the hop-by-hop headers of RFC 9110, section 7.6.1, and those that
/// the Connection header names, except end-to-end headers such as Host.
void dropHopHeaders(Poco::Net::HTTPMessage &Message);

/// Reads a message body incrementally and tells whether it is complete.
class BodyReader {
public:
  explicit BodyReader(const BodyFraming &Framing);

  /// Appends the next bytes of the body to \p Into, at its end nothing. It is a
  /// fault if the connection ends before the body.
  /// \param Watched see TcpConnection::fill.
  ReadResult<void> read(TcpConnection &From, std::string &Into,
                        Instant Deadline,
                        const TcpConnection *Watched = nullptr);
  [[nodiscard]] bool done() const { return this->Done; }

private:
  BodyFraming Framing;
  std::uint64_t Remaining = 0;
  ChunkDecoder Chunks;
  bool Done = false;

  ReadResult<void> readFixed(TcpConnection &From, std::string &Into);
  ReadResult<void> readChunks(TcpConnection &From, std::string &Into);
};

/// Reads a complete body; one of more than \p MaxBytes is rejected with 413.
ReadResult<std::string> readWholeBody(TcpConnection &From,
                                      const BodyFraming &Framing,
                                      std::size_t MaxBytes, Instant Deadline);

/// Serializes the head of \p Message, including its empty line.
std::string headText(const Poco::Net::HTTPRequest &Message);
std::string headText(const Poco::Net::HTTPResponse &Message);

/// Encodes \p Data as one chunk of a chunked body; empty data gives the last
/// chunk.
std::string chunkText(std::string_view Data);

} // namespace siskinstage

#endif // SISKINSTAGE_NET_HTTP_IO_H
