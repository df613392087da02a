#include "standin/control_server.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>
#include <csignal>
#include <cstdlib>
#include <utility>

namespace siskinstage::standin {

namespace {

/// Adapts a ControlHandler to the request handler of Poco's HTTP server.
class RequestHandler : public Poco::Net::HTTPRequestHandler {
public:
  explicit RequestHandler(const ControlHandler &Handler) : Handler(Handler) {}

  void handleRequest(Poco::Net::HTTPServerRequest &Request,
                     Poco::Net::HTTPServerResponse &Response) override {
    const Poco::URI Uri(Request.getURI());
    ControlRequest Parsed;
    Parsed.Method = Request.getMethod();
    Parsed.Path = Uri.getPath();
    for (const auto &[Name, Value] : Uri.getQueryParameters())
      Parsed.Query[Name] = Value;
    Poco::StreamCopier::copyToString(Request.stream(), Parsed.Body);
    const ControlReply Reply = this->Handler(Parsed);
    if (Reply.CloseConnection) {
      dynamic_cast<Poco::Net::HTTPServerRequestImpl &>(Request)
          .detachSocket()
          .close();
      return;
    }
    Response.setStatusAndReason(
        static_cast<Poco::Net::HTTPResponse::HTTPStatus>(Reply.Status));
    Response.setContentType("application/json");
    Response.sendBuffer(Reply.Body.data(), Reply.Body.size());
  }

private:
  const ControlHandler &Handler;
};

/// Creates a RequestHandler for each request.
class RequestHandlerFactory : public Poco::Net::HTTPRequestHandlerFactory {
public:
  explicit RequestHandlerFactory(ControlHandler Handler)
      : Handler(std::move(Handler)) {}
  Poco::Net::HTTPRequestHandler *createRequestHandler(
      const Poco::Net::HTTPServerRequest & /*Request*/) override {
    return new RequestHandler(this->Handler);
  }

private:
  ControlHandler Handler;
};

sigset_t stopSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  return Signals;
}

} // namespace

std::string ControlRequest::text(const std::string &Name,
                                 const std::string &Default) const {
  const auto Parameter = this->Query.find(Name);
  return Parameter == this->Query.end() ? Default : Parameter->second;
}

double ControlRequest::number(const std::string &Name, double Default) const {
  const auto Parameter = this->Query.find(Name);
  return Parameter == this->Query.end()
             ? Default
             : std::strtod(Parameter->second.c_str(), nullptr);
}

std::unique_ptr<Poco::Net::HTTPServer>
startControlServer(const std::string &Endpoint, int MaxThreads,
                   ControlHandler Handler) {
  Poco::Net::ServerSocket Socket;
  Socket.bind(Poco::Net::SocketAddress(Endpoint), true, false);
  Socket.listen(256);
  auto *Params = new Poco::Net::HTTPServerParams;
  Params->setMaxThreads(MaxThreads);
  Params->setMaxQueued(1024);
  static Poco::ThreadPool Pool(4, 1024);
  auto Server = std::make_unique<Poco::Net::HTTPServer>(
      new RequestHandlerFactory(std::move(Handler)), Pool, Socket, Params);
  Server->start();
  return Server;
}

void blockStopSignals() {
  std::signal(SIGPIPE, SIG_IGN);
  const sigset_t Signals = stopSignals();
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
}

void waitForStopSignal() {
  const sigset_t Signals = stopSignals();
  int Signal = 0;
  while (sigwait(&Signals, &Signal) != 0) {
  }
}

} // namespace siskinstage::standin
