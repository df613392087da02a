#ifndef SISKINSTAGE_NET_HTTP_IO_H
#define SISKINSTAGE_NET_HTTP_IO_H

#include "core/chunk_decoder.h"
#include "core/http_framing.h"
#include "core/http_guard.h"
#include "net/tcp_connection.h"

#include <Poco/Net/HTTPMessage.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <string>
#include <variant>

namespace siskinstage {

/// Why a message could not be read: the connection, or what stood in it.
using ReadFault = std::variant<ConnectionFault, HttpRefusal>;
template <typename T> using ReadResult = tl::expected<T, ReadFault>;

/// One sentence for logs and answers.
std::string readFaultText(const ReadFault &Fault);

/// Reads one message head and writes it anew after the guard's rules. Empty
/// lines before a request are skipped.
/// \param FirstByte deadline for the head's first byte.
/// \param HeadTime  time for the rest of the head, from its first byte.
ReadResult<std::string> readHead(TcpConnection &From, HeadKind Kind,
                                 Instant FirstByte, Duration HeadTime,
                                 const TcpConnection *Watched = nullptr);

/// Parses a head that readHead returned.
ReadResult<Poco::Net::HTTPRequest> parseRequest(const std::string &Head);
ReadResult<Poco::Net::HTTPResponse> parseAnswer(const std::string &Head);

/// The header values that decide the framing of \p Message.
FramingFields framingFields(const Poco::Net::HTTPMessage &Message);

/// All values of the header \p Name.
std::vector<std::string> headerValues(const Poco::Net::HTTPMessage &Message,
                                      const std::string &Name);

/// Removes the hop-by-hop headers of RFC 9110, section 7.6.1, and those that
/// the Connection header names.
void dropHopHeaders(Poco::Net::HTTPMessage &Message);

/// Reads a body piece by piece and knows whether it came whole.
class BodyReader {
public:
  explicit BodyReader(const BodyFraming &Framing);

  /// Appends the next bytes of the body to \p Into; none at its end.
  /// A connection that ends first is a fault.
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

/// Reads the whole of a body of at most \p MaxBytes.
ReadResult<std::string> readWholeBody(TcpConnection &From,
                                      const BodyFraming &Framing,
                                      std::size_t MaxBytes, Instant Deadline);

/// Text of \p Message up to and with its empty line.
std::string headText(const Poco::Net::HTTPRequest &Message);
std::string headText(const Poco::Net::HTTPResponse &Message);

/// \p Data as one chunk of a chunked body; empty data gives the last chunk.
std::string chunkText(std::string_view Data);

} // namespace siskinstage

#endif // SISKINSTAGE_NET_HTTP_IO_H
