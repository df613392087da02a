#include "node/callers/page_port.h"
#include "net/boot_time.h"
#include "net/http_io.h"
#include "siskinstage/config.h"

#include <Poco/Exception.h>
#include <Poco/String.h>

namespace siskinstage {

namespace {

using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

bool hasBody(const HTTPRequest &Request) {
  return Request.has("Transfer-Encoding") ||
         (Request.has("Content-Length") &&
          Request.get("Content-Length") != "0");
}

ConnectionHandler::Next send(TcpConnection &Peer, const Page &Response,
                             bool KeepOpen, bool HeadOnly) {
  HTTPResponse Head(HTTPResponse::HTTP_1_1,
                    static_cast<HTTPResponse::HTTPStatus>(Response.Status));
  Head.setReason(HTTPResponse::getReasonForStatus(Head.getStatus()));
  Head.setContentType(Response.ContentType);
  Head.setContentLength64(static_cast<Poco::Int64>(Response.Body.size()));
  if (!KeepOpen)
    Head.set("Connection", "close");
  const auto Written =
      Peer.write(headText(Head) + (HeadOnly ? "" : Response.Body),
                 bootNow() + config::PageWriteTimeout);
  return Written && KeepOpen ? ConnectionHandler::Next::Idle
                             : ConnectionHandler::Next::Close;
}

} // namespace

Duration PagePort::idleTimeout(bool /*Draining*/) const {
  return config::PageIdleTimeout;
}

Page PagePort::render(const std::string &Uri) const {
  try {
    return this->Renderer(Uri);
  } catch (const Poco::Exception &Fault) {
    return {400, "text/plain", "malformed: " + Fault.displayText() + "\n"};
  }
}

Duration PagePort::headTimeout() const { return config::PageReadTimeout; }

void PagePort::closeOverdue(TcpConnection &Peer) { Peer.close(); }

ConnectionHandler::Next PagePort::serve(TcpConnection &Peer,
                                        ServeTurn & /*Turn*/) {
  const auto Lines =
      readHead(Peer, HeadKind::Request, bootNow(), Duration::zero());
  if (!Lines) {
    const auto *Fault = std::get_if<ConnectionFault>(&Lines.error());
    if (Fault == nullptr)
      return send(Peer,
                  {400, "text/plain", readFaultText(Lines.error()) + "\n"},
                  false, false);
    if (Fault->Cause != ConnectionFault::Kind::Timeout)
      return Next::Close;
    return Peer.buffered().empty() ? Next::Idle : Next::Incomplete;
  }
  const Poco::Net::HTTPRequest Request = parseRequest(*Lines);
  const std::string &Method = Request.getMethod();
  if (Method != "GET" && Method != "HEAD")
    return send(Peer, {405, "text/plain", "pages are read with GET\n"}, false,
                false);
  // A body is not read; on an open connection, it would be parsed as the next
  // request.
  const bool KeepOpen =
      Request.getVersion() == HTTPRequest::HTTP_1_1 &&
      Poco::icompare(Request.get("Connection", ""), "close") != 0 &&
      !hasBody(Request);
  return send(Peer, this->render(Request.getURI()), KeepOpen, Method == "HEAD");
}

} // namespace siskinstage
