#include "net/http_client.h"
#include "net/boot_time.h"

namespace siskinstage {

namespace {

/// Status of the refusal of a body beyond the limit, see readWholeBody().
constexpr int BodyTooLong = 413;

} // namespace

ReadResult<HttpResponse> exchange(TcpConnection &Connection,
                                  const Poco::Net::HTTPRequest &Request,
                                  const std::string &Body, std::size_t MaxBytes,
                                  Instant Deadline) {
  const auto Written = Connection.write(headText(Request) + Body, Deadline);
  if (!Written)
    return tl::unexpected<ReadFault>(Written.error());
  const auto HeadLines =
      readHead(Connection, HeadKind::Response, Deadline, timeLeft(Deadline));
  if (!HeadLines)
    return tl::unexpected<ReadFault>(HeadLines.error());
  const Poco::Net::HTTPResponse Head = parseResponse(*HeadLines);
  const auto Framing = responseFraming(framingFields(Head), Request.getMethod(),
                                       Head.getStatus());
  if (!Framing)
    return tl::unexpected<ReadFault>(Framing.error());
  auto ResponseBody = readWholeBody(Connection, *Framing, MaxBytes, Deadline);
  if (!ResponseBody)
    return tl::unexpected<ReadFault>(ResponseBody.error());
  return HttpResponse{Head, std::move(*ResponseBody)};
}

Result<HttpResponse> sendOnNewConnection(const Address &Endpoint,
                                         Poco::Net::HTTPRequest Request,
                                         const std::string &Body,
                                         std::size_t MaxBytes,
                                         Instant Deadline) {
  auto Connection = TcpConnection::connect(Endpoint, Deadline);
  if (!Connection)
    return fail(Step::Connect, Endpoint.str(), Connection.error().Reason);
  Request.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
  Request.setHost(Endpoint.str());
  Request.setKeepAlive(false);
  if (!Body.empty() || Request.getMethod() == "POST" ||
      Request.getMethod() == "PUT")
    Request.setContentLength64(static_cast<Poco::Int64>(Body.size()));
  auto Response = exchange(*Connection, Request, Body, MaxBytes, Deadline);
  if (Response)
    return std::move(*Response);
  const auto *Refused = std::get_if<HttpRefusal>(&Response.error());
  const bool TooLong = Refused != nullptr && Refused->Status == BodyTooLong;
  return tl::unexpected(Error{Step::ReadResponse, Endpoint.str(),
                              readFaultText(Response.error()), TooLong});
}

Result<HttpResponse> getOnNewConnection(const Address &Endpoint,
                                        const std::string &RequestTarget,
                                        std::size_t MaxBytes,
                                        Instant Deadline) {
  return sendOnNewConnection(Endpoint,
                             Poco::Net::HTTPRequest("GET", RequestTarget), "",
                             MaxBytes, Deadline);
}

} // namespace siskinstage
