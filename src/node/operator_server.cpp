#include "node/operator_server.h"
#include "node/explain_page.h"
#include "node/node_context.h"
#include "node/snapshot.h"
#include "node/state_dump.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/URI.h>
#include <json/writer.h>

namespace siskinstage {

namespace {

using Poco::Net::HTTPResponse;

constexpr int OperatorThreads = 4;

/// What a page holds.
struct Page {
  HTTPResponse::HTTPStatus Status = HTTPResponse::HTTP_OK;
  std::string Type = "text/plain; charset=utf-8";
  std::string Text;
};

Page jsonPage(const Json::Value &Value) {
  Json::StreamWriterBuilder Writer;
  Writer["indentation"] = "  ";
  return {HTTPResponse::HTTP_OK, "application/json",
          Json::writeString(Writer, Value) + "\n"};
}

Page explainPage(NodeContext &Context, const Poco::URI &Asked) {
  std::map<std::string, std::string> Query;
  for (const auto &[Name, Value] : Asked.getQueryParameters())
    Query[Name] = Value;
  return jsonPage(explainRequest(Context, Query));
}

Page metricsPage(NodeContext &Context) {
  Metrics &Measured = Context.Measured;
  Measured.setCallers(Context.CallerConnections.load());
  Measured.setReady(Context.ready());
  Measured.setObservationsLost(
      static_cast<double>(Context.Observations.lost()));
  Measured.setKeys(static_cast<double>(Context.Keys.stats().Entries));
  return {HTTPResponse::HTTP_OK, "text/plain; version=0.0.4", Measured.text()};
}

Page readyPage(NodeContext &Context) {
  if (Context.ready())
    return {HTTPResponse::HTTP_OK, "text/plain", "ready\n"};
  const bool Draining = Context.Draining.load();
  return {HTTPResponse::HTTP_SERVICE_UNAVAILABLE, "text/plain",
          Draining ? "draining\n" : "no configuration yet\n"};
}

Page pageFor(NodeContext &Context, const Poco::URI &Asked) {
  const std::string &Path = Asked.getPath();
  if (Path == "/healthz")
    return {HTTPResponse::HTTP_OK, "text/plain", "ok\n"};
  if (Path == "/readyz")
    return readyPage(Context);
  if (Path == "/metrics")
    return metricsPage(Context);
  if (Path == "/state")
    return jsonPage(stateDump(Context));
  if (Path == "/explain")
    return explainPage(Context, Asked);
  return {HTTPResponse::HTTP_NOT_FOUND, "text/plain",
          "pages are /healthz, /readyz, /metrics, /state and /explain\n"};
}

/// Answers one request of an operator.
class Handler : public Poco::Net::HTTPRequestHandler {
public:
  explicit Handler(NodeContext &Context) : Context(Context) {}
  void handleRequest(Poco::Net::HTTPServerRequest &Request,
                     Poco::Net::HTTPServerResponse &Response) override {
    const Page Shown = pageFor(this->Context, Poco::URI(Request.getURI()));
    Response.setStatusAndReason(Shown.Status);
    Response.setContentType(Shown.Type);
    Response.sendBuffer(Shown.Text.data(), Shown.Text.size());
  }

private:
  NodeContext &Context;
};

/// Makes a handler for each request.
class HandlerFactory : public Poco::Net::HTTPRequestHandlerFactory {
public:
  explicit HandlerFactory(NodeContext &Context) : Context(Context) {}
  Poco::Net::HTTPRequestHandler *createRequestHandler(
      const Poco::Net::HTTPServerRequest & /*Request*/) override {
    return new Handler(this->Context);
  }

private:
  NodeContext &Context;
};

} // namespace

Result<std::unique_ptr<OperatorServer>>
OperatorServer::start(NodeContext &Context) {
  auto New = std::make_unique<OperatorServer>();
  const Address &Where = Context.Set.OperatorListen;
  try {
    Poco::Net::ServerSocket Socket;
    Socket.bind(Poco::Net::SocketAddress(Where.str()), true, false);
    Socket.listen();
    auto *Params = new Poco::Net::HTTPServerParams;
    Params->setMaxThreads(OperatorThreads);
    New->Server = std::make_unique<Poco::Net::HTTPServer>(
        new HandlerFactory(Context), Socket, Params);
    New->Server->start();
  } catch (const Poco::Exception &Fault) {
    return fail(Step::Listen, Where.str(), Fault.displayText());
  }
  return New;
}

void OperatorServer::stop() { this->Server->stopAll(true); }

} // namespace siskinstage
