#include "node/operators/operator_pages.h"
#include "net/boot_time.h"
#include "node/node_context.h"
#include "node/operators/state_dump.h"
#include "node/requests/explain_page.h"
#include "node/snapshot.h"
#include "node/targets/service_gate.h"

#include <Poco/URI.h>
#include <json/writer.h>

namespace siskinstage {

namespace {

Page jsonPage(const Json::Value &Value) {
  Json::StreamWriterBuilder Writer;
  Writer["indentation"] = "  ";
  return {200, "application/json", Json::writeString(Writer, Value) + "\n"};
}

Page explainPage(NodeContext &Context, const Poco::URI &Uri) {
  std::map<std::string, std::string> Query;
  for (const auto &[Name, Value] : Uri.getQueryParameters())
    Query[Name] = Value;
  return jsonPage(explainRequest(Context, Query));
}

Page metricsPage(NodeContext &Context) {
  Metrics &Values = Context.NodeMetrics;
  Values.setCallerConnections(Context.CallerConnections.Open.load());
  Values.setThreadsExhausted(
      static_cast<double>(Context.CallerConnections.ThreadsExhausted.load()));
  Values.setRejectedConnections(
      static_cast<double>(Context.CallerConnections.Rejected.load()));
  Values.setAcceptFailures(
      static_cast<double>(Context.CallerConnections.AcceptFailures.load()));
  Values.setReady(Context.ready());
  Values.setObservationsLost(
      static_cast<double>(Context.Observations.droppedCount()));
  Values.setKeyCount(static_cast<double>(Context.Keys.stats().Entries));
  const auto ViewAge = Context.ConfigView.get().age(bootNow());
  Values.setConfigViewAge(
      ViewAge ? std::chrono::duration<double>(*ViewAge).count() : -1);
  const FleetQuota::Stats Quotas = Context.Quotas.stats();
  Values.setQuotas(static_cast<double>(Quotas.Claim) / WholeQuota,
                   Quotas.Claimants, static_cast<double>(Quotas.Accounts),
                   static_cast<double>(Quotas.Full));
  const auto Current = Context.Snapshots.get();
  Current->ServiceViews.forEach(
      [&](const ServiceName &Name, const auto &Service) {
        const ServiceGate::Coverage Counts = Service->Gate->coverage(*Service);
        Values.setTargetCounts(Name.str(), Counts.Admitted, Counts.Suspected,
                               Counts.Idle, Counts.Limited, Counts.LeftAlone);
      });
  return {200, "text/plain; version=0.0.4", Values.text()};
}

Page readyPage(NodeContext &Context) {
  if (Context.ready())
    return {200, "text/plain", "ready\n"};
  const bool Draining = Context.Drain.active();
  return {503, "text/plain",
          Draining ? "draining\n" : "no configuration yet\n"};
}

Page pageFor(NodeContext &Context, const Poco::URI &Uri) {
  const std::string &Path = Uri.getPath();
  if (Path == "/healthz")
    return {200, "text/plain", "ok\n"};
  if (Path == "/readyz")
    return readyPage(Context);
  if (Path == "/metrics")
    return metricsPage(Context);
  if (Path == "/state")
    return jsonPage(stateDump(Context));
  if (Path == "/explain")
    return explainPage(Context, Uri);
  return {404, "text/plain",
          "pages are /healthz, /readyz, /metrics, /state and /explain\n"};
}

} // namespace

Page operatorPage(NodeContext &Context, const std::string &Uri) {
  return pageFor(Context, Poco::URI(Uri));
}

} // namespace siskinstage
