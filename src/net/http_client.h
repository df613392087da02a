#ifndef SISKINSTAGE_NET_HTTP_CLIENT_H
#define SISKINSTAGE_NET_HTTP_CLIENT_H

#include "net/http_io.h"
#include "siskinstage/error.h"

#include <string>

namespace siskinstage {

/// A complete response.
struct HttpResponse {
  Poco::Net::HTTPResponse Head;
  std::string Body;
};

/// Sends one request on a new connection and reads the complete response.
/// \param Body sent with its length; may be empty.
/// \param MaxBytes a response with a longer body is an error, with
///                 Error::TooLong set.
Result<HttpResponse> sendOnNewConnection(const Address &Endpoint,
                                         Poco::Net::HTTPRequest Request,
                                         const std::string &Body,
                                         std::size_t MaxBytes,
                                         Instant Deadline);

/// Calls sendOnNewConnection with a GET request for \p RequestTarget.
Result<HttpResponse> getOnNewConnection(const Address &Endpoint,
                                        const std::string &RequestTarget,
                                        std::size_t MaxBytes, Instant Deadline);

/// Sends \p Request on \p Connection and reads the complete response.
ReadResult<HttpResponse> exchange(TcpConnection &Connection,
                                  const Poco::Net::HTTPRequest &Request,
                                  const std::string &Body, std::size_t MaxBytes,
                                  Instant Deadline);

} // namespace siskinstage

#endif // SISKINSTAGE_NET_HTTP_CLIENT_H
