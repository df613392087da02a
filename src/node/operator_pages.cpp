#include "node/operator_pages.h"
#include "node/explain_page.h"
#include "node/node_context.h"
#include "node/service_gate.h"
#include "node/snapshot.h"
#include "node/state_dump.h"

#include <Poco/URI.h>
#include <json/writer.h>

namespace siskinstage {

namespace {

Page jsonPage(const Json::Value &Value) {
  Json::StreamWriterBuilder Writer;
  Writer["indentation"] = "  ";
  return {200, "application/json", Json::writeString(Writer, Value) + "\n"};
}

Page explainPage(NodeContext &Context, const Poco::URI &Asked) {
  std::map<std::string, std::string> Query;
  for (const auto &[Name, Value] : Asked.getQueryParameters())
    Query[Name] = Value;
  return jsonPage(explainRequest(Context, Query));
}

Page metricsPage(NodeContext &Context) {
  Metrics &Measured = Context.NodeMetrics;
  Measured.setCallerConnections(Context.CallerConnections.Open.load());
  Measured.setThreadsExhausted(
      static_cast<double>(Context.CallerConnections.Crowded.load()));
  Measured.setRejectedConnections(
      static_cast<double>(Context.CallerConnections.BeyondLimit.load()));
  Measured.setAcceptFailures(
      static_cast<double>(Context.CallerConnections.Unaccepted.load()));
  Measured.setReady(Context.ready());
  Measured.setObservationsLost(
      static_cast<double>(Context.Observations.lost()));
  Measured.setKeyCount(static_cast<double>(Context.Keys.stats().Entries));
  const auto Now = Context.Snapshots.get();
  Now->ServiceViews.forEach([&](const ServiceName &Name, const auto &Service) {
    const ServiceGate::Coverage Is = Service->Gate->coverage(*Service);
    Measured.setTargetCounts(Name.str(), Is.Admitted, Is.Doubted, Is.Idle);
  });
  return {200, "text/plain; version=0.0.4", Measured.text()};
}

Page readyPage(NodeContext &Context) {
  if (Context.ready())
    return {200, "text/plain", "ready\n"};
  const bool Draining = Context.Draining.load();
  return {503, "text/plain",
          Draining ? "draining\n" : "no configuration yet\n"};
}

Page pageFor(NodeContext &Context, const Poco::URI &Asked) {
  const std::string &Path = Asked.getPath();
  if (Path == "/healthz")
    return {200, "text/plain", "ok\n"};
  if (Path == "/readyz")
    return readyPage(Context);
  if (Path == "/metrics")
    return metricsPage(Context);
  if (Path == "/state")
    return jsonPage(stateDump(Context));
  if (Path == "/explain")
    return explainPage(Context, Asked);
  return {404, "text/plain",
          "pages are /healthz, /readyz, /metrics, /state and /explain\n"};
}

} // namespace

Page operatorPage(NodeContext &Context, const std::string &Uri) {
  return pageFor(Context, Poco::URI(Uri));
}

} // namespace siskinstage
