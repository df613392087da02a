#ifndef SISKINSTAGE_NET_HTTP_CLIENT_H
#define SISKINSTAGE_NET_HTTP_CLIENT_H

#include "net/http_io.h"
#include "siskinstage/error.h"

#include <string>

namespace siskinstage {

/// A whole answer to one request.
struct HttpResponse {
  Poco::Net::HTTPResponse Head;
  std::string Body;
};

/// Sends one request on a new connection and reads the whole answer.
/// \param Body sent with its length if it is not empty.
/// \param MaxBytes the longest answer body taken.
Result<HttpResponse> sendOnNewConnection(const Address &Where,
                                         Poco::Net::HTTPRequest Request,
                                         const std::string &Body,
                                         std::size_t MaxBytes,
                                         Instant Deadline);

/// sendOnNewConnection with GET.
Result<HttpResponse> getOnNewConnection(const Address &Where,
                                        const std::string &Target,
                                        std::size_t MaxBytes, Instant Deadline);

/// Sends \p Request on \p Connection and reads the whole answer.
ReadResult<HttpResponse> exchange(Wire &Connection,
                                  const Poco::Net::HTTPRequest &Request,
                                  const std::string &Body, std::size_t MaxBytes,
                                  Instant Deadline);

} // namespace siskinstage

#endif // SISKINSTAGE_NET_HTTP_CLIENT_H
