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

/// Passes one HTTP request to the handler.
class Handler : public Poco::Net::HTTPRequestHandler {
public:
  explicit Handler(const ControlHandler &Handle) : Handle(Handle) {}

  void handleRequest(Poco::Net::HTTPServerRequest &Request,
                     Poco::Net::HTTPServerResponse &Response) override {
    const Poco::URI Uri(Request.getURI());
    ControlRequest Asked;
    Asked.Method = Request.getMethod();
    Asked.Path = Uri.getPath();
    for (const auto &[Name, Value] : Uri.getQueryParameters())
      Asked.Query[Name] = Value;
    Poco::StreamCopier::copyToString(Request.stream(), Asked.Body);
    const ControlAnswer Answer = this->Handle(Asked);
    if (Answer.Drop) {
      dynamic_cast<Poco::Net::HTTPServerRequestImpl &>(Request)
          .detachSocket()
          .close();
      return;
    }
    Response.setStatusAndReason(
        static_cast<Poco::Net::HTTPResponse::HTTPStatus>(Answer.Status));
    Response.setContentType("application/json");
    Response.sendBuffer(Answer.Body.data(), Answer.Body.size());
  }

private:
  const ControlHandler &Handle;
};

/// Makes a handler for each request.
class Factory : public Poco::Net::HTTPRequestHandlerFactory {
public:
  explicit Factory(ControlHandler Handle) : Handle(std::move(Handle)) {}
  Poco::Net::HTTPRequestHandler *createRequestHandler(
      const Poco::Net::HTTPServerRequest & /*Request*/) override {
    return new Handler(this->Handle);
  }

private:
  ControlHandler Handle;
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
  const auto Found = this->Query.find(Name);
  return Found == this->Query.end() ? Default : Found->second;
}

double ControlRequest::number(const std::string &Name, double Default) const {
  const auto Found = this->Query.find(Name);
  return Found == this->Query.end()
             ? Default
             : std::strtod(Found->second.c_str(), nullptr);
}

std::unique_ptr<Poco::Net::HTTPServer>
startControlServer(const std::string &Where, int Threads,
                   ControlHandler Handle) {
  Poco::Net::ServerSocket Socket;
  Socket.bind(Poco::Net::SocketAddress(Where), true, false);
  Socket.listen(256);
  auto *Params = new Poco::Net::HTTPServerParams;
  Params->setMaxThreads(Threads);
  Params->setMaxQueued(1024);
  static Poco::ThreadPool Pool(4, 1024);
  auto Server = std::make_unique<Poco::Net::HTTPServer>(
      new Factory(std::move(Handle)), Pool, Socket, Params);
  Server->start();
  return Server;
}

void blockStopSignals() {
  std::signal(SIGPIPE, SIG_IGN);
  const sigset_t Signals = stopSignals();
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
}

void awaitStop() {
  const sigset_t Signals = stopSignals();
  int Signal = 0;
  while (sigwait(&Signals, &Signal) != 0) {
  }
}

} // namespace siskinstage::standin
