#include "node/fleet/entries_response.h"
#include "net/boot_time.h"
#include "net/http_client.h"
#include "node/header_names.h"
#include "node/node_context.h"
#include "siskinstage/config.h"

#include <Poco/Exception.h>
#include <Poco/URI.h>
#include <algorithm>
#include <json/value.h>
#include <json/writer.h>
#include <optional>

namespace siskinstage {

namespace {

constexpr std::size_t MaxEntriesBytes = 64 * 1024;

/// The query parameters of a request for entries.
struct EntriesQuery {
  ServiceName Service;
  AccountName Account{"anonymous"};
};

HttpResult<EntriesQuery> readQuery(const CallerRequest &Request) {
  if (Request.Head.getMethod() != "GET")
    return refuse(405, "entries are asked for with GET");
  EntriesQuery Query;
  try {
    for (const auto &[Name, Value] :
         Poco::URI(Request.Head.getURI()).getQueryParameters()) {
      if (Name == "service")
        Query.Service = ServiceName(Value);
      else if (Name == "account")
        Query.Account = AccountName(Value);
      else
        return refuse(400, "query parameter " + Name +
                               " is not known, allowed are service and "
                               "account");
    }
  } catch (const Poco::Exception &Fault) {
    return refuse(400, "the query is malformed: " + Fault.displayText());
  }
  if (Query.Service.empty())
    return refuse(400, "query parameter service is missing");
  return Query;
}

std::vector<SteeringNode> entriesFor(const EntriesQuery &Query,
                                     const ServiceView &View,
                                     const Snapshot &Current) {
  const std::size_t Slots =
      View.Record.Targets.size() * View.Record.SlotsPerTarget.Value;
  const std::size_t PerDomain =
      groupNodesPerDomain(Slots, countDomains(Current.LiveNodes));
  return accountEntries(
      serviceGroup(Current.LiveNodes, Query.Service, PerDomain), Query.Account,
      Current.Fleet.EntriesPerAccount);
}

/// Forwards the request to \p Entries in turn: each node hands out only its own
/// key prefix. \returns the first response with status 200.
std::optional<StoredResponse>
forwardToEntries(const std::vector<SteeringNode> &Entries,
                 const CallerRequest &Request) {
  for (const SteeringNode &Node : Entries) {
    Poco::Net::HTTPRequest Forwarded("GET", Request.Head.getURI());
    Forwarded.set(header::Hops, std::to_string(Request.Hops + 1));
    const auto Received =
        sendOnNewConnection(Node.Endpoint, Forwarded, "", MaxEntriesBytes,
                            bootNow() + config::EntriesForwardTimeout);
    if (!Received || Received->Head.getStatus() != 200)
      continue;
    StoredResponse Response;
    Response.Status = 200;
    Response.Reason = "OK";
    Response.Headers = {{"Content-Type", "application/json"}};
    Response.Body = Received->Body;
    return Response;
  }
  return std::nullopt;
}

Json::Value entryJson(const Address &Endpoint, const FailureDomain &Domain) {
  Json::Value Entry(Json::objectValue);
  Entry["address"] = Endpoint.str();
  Entry["domain"] = Domain.str();
  return Entry;
}

StoredResponse ownResponse(NodeContext &Context,
                           const std::vector<SteeringNode> &Entries) {
  Json::Value Body(Json::objectValue);
  Json::Value &List = Body["entries"] = Json::Value(Json::arrayValue);
  const Address &Own = Context.NodeSettings.FleetAddress;
  if (Context.namesItself())
    List.append(entryJson(Own, Context.NodeSettings.Domain));
  for (const SteeringNode &Node : Entries)
    if (Node.Endpoint != Own)
      List.append(entryJson(Node.Endpoint, Node.Domain));
  Body["ttl_ms"] = static_cast<Json::Int64>(config::EntriesTtl.count());
  const auto Prefix =
      !Context.namesItself()
          ? std::nullopt
          : Context.Keys.prefixForNewKeys(*Context.NodeSettings.Keys);
  Body["key_prefix"] = Prefix ? Json::Value(*Prefix) : Json::Value();
  Json::StreamWriterBuilder Writer;
  Writer["indentation"] = "";
  StoredResponse Response;
  Response.Status = 200;
  Response.Reason = "OK";
  Response.Headers = {{"Content-Type", "application/json"}};
  Response.Body = Json::writeString(Writer, Body) + "\n";
  return Response;
}

} // namespace

HttpResult<StoredResponse> entriesResponse(NodeContext &Context,
                                           const CallerRequest &Request,
                                           const Snapshot &Current) {
  const auto Query = readQuery(Request);
  if (!Query)
    return tl::unexpected<HttpRefusal>(Query.error());
  const auto View = Current.service(Query->Service);
  if (!View)
    return refuse(404,
                  "service " + Query->Service.str() + " is not configured");
  const auto Entries = entriesFor(*Query, *View, Current);
  const bool IsEntry = std::any_of(
      Entries.begin(), Entries.end(), [&](const SteeringNode &Node) {
        return Node.Endpoint == Context.NodeSettings.FleetAddress;
      });
  if ((!IsEntry || !Context.namesItself()) && Request.Hops == 0)
    if (auto Response = forwardToEntries(Entries, Request))
      return std::move(*Response);
  return ownResponse(Context, Entries);
}

} // namespace siskinstage
