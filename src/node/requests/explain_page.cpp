#include "node/requests/explain_page.h"
#include "core/requests/repeatability.h"
#include "node/node_context.h"
#include "node/operators/state_dump.h"
#include "node/snapshot.h"

namespace siskinstage {

namespace {

std::string valueOf(const std::map<std::string, std::string> &Query,
                    const std::string &Name, const std::string &Default) {
  const auto Found = Query.find(Name);
  return Found == Query.end() ? Default : Found->second;
}

} // namespace

Json::Value explainRequest(NodeContext &Context,
                           const std::map<std::string, std::string> &Query) {
  const auto Current = Context.Snapshots.get();
  const std::string Method = valueOf(Query, "method", "GET");
  const RouteRecord *Route = Current->Routes.find(
      valueOf(Query, "host", ""), valueOf(Query, "path", "/"), Method);
  Json::Value Page(Json::objectValue);
  Page["route"] = Json::Value();
  if (Route == nullptr)
    return Page;
  Page["route"] = Route->Name.str();
  Page["service"] = Route->Service.str();
  const auto Kind =
      decideRepeatability(std::nullopt, Route->Repeatable, Method);
  Page["unmarked_request_is"] =
      *Kind == Repeatability::Repeatable ? "repeatable" : "run at most once";
  const auto Service = Current->service(Route->Service);
  Page["configured"] = Service != nullptr;
  if (Service)
    Page["targets"] = serviceDump(*Service)["targets"];
  return Page;
}

} // namespace siskinstage
