#include "net/http_client.h"
#include "net/boot_time.h"

namespace siskinstage {

ReadResult<HttpResponse> exchange(Wire &Connection,
                                  const Poco::Net::HTTPRequest &Request,
                                  const std::string &Body, std::size_t MaxBytes,
                                  Instant Deadline) {
  const auto Written = Connection.write(headText(Request) + Body, Deadline);
  if (!Written)
    return tl::unexpected<ReadFault>(Written.error());
  const auto HeadLines =
      readHead(Connection, HeadKind::Answer, Deadline, timeLeft(Deadline));
  if (!HeadLines)
    return tl::unexpected<ReadFault>(HeadLines.error());
  const auto Head = parseAnswer(*HeadLines);
  if (!Head)
    return tl::unexpected<ReadFault>(Head.error());
  const auto Framing = answerFraming(framingFields(*Head), Request.getMethod(),
                                     Head->getStatus());
  if (!Framing)
    return tl::unexpected<ReadFault>(Framing.error());
  auto Answer = readWholeBody(Connection, *Framing, MaxBytes, Deadline);
  if (!Answer)
    return tl::unexpected<ReadFault>(Answer.error());
  return HttpResponse{*Head, std::move(*Answer)};
}

Result<HttpResponse> sendOnNewConnection(const Address &Where,
                                         Poco::Net::HTTPRequest Request,
                                         const std::string &Body,
                                         std::size_t MaxBytes,
                                         Instant Deadline) {
  auto Connection = Wire::connect(Where, Deadline);
  if (!Connection)
    return fail(Step::Connect, Where.str(), Connection.error().Reason);
  Request.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
  Request.setHost(Where.str());
  Request.setKeepAlive(false);
  if (!Body.empty() || Request.getMethod() == "POST" ||
      Request.getMethod() == "PUT")
    Request.setContentLength64(static_cast<Poco::Int64>(Body.size()));
  auto Answer = exchange(*Connection, Request, Body, MaxBytes, Deadline);
  if (!Answer)
    return fail(Step::ReadResponse, Where.str(), readFaultText(Answer.error()));
  return std::move(*Answer);
}

Result<HttpResponse> getOnNewConnection(const Address &Where,
                                        const std::string &Target,
                                        std::size_t MaxBytes,
                                        Instant Deadline) {
  return sendOnNewConnection(Where, Poco::Net::HTTPRequest("GET", Target), "",
                             MaxBytes, Deadline);
}

} // namespace siskinstage
