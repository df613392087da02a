#include "node/entries_response.h"
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

/// What the caller asked.
struct EntriesQuestion {
  ServiceName Service;
  AccountName Account{"anonymous"};
};

HttpResult<EntriesQuestion> readQuestion(const CallerRequest &Request) {
  if (Request.Head.getMethod() != "GET")
    return refuse(405, "entries are asked for with GET");
  EntriesQuestion Question;
  try {
    for (const auto &[Name, Value] :
         Poco::URI(Request.Head.getURI()).getQueryParameters()) {
      if (Name == "service")
        Question.Service = ServiceName(Value);
      else if (Name == "account")
        Question.Account = AccountName(Value);
      else
        return refuse(400, "query parameter " + Name +
                               " is not known, allowed are service and "
                               "account");
    }
  } catch (const Poco::Exception &Fault) {
    return refuse(400, "the query is malformed: " + Fault.displayText());
  }
  if (Question.Service.empty())
    return refuse(400, "query parameter service is missing");
  return Question;
}

std::vector<SteeringNode> entriesFor(const EntriesQuestion &Question,
                                     const ServiceView &View,
                                     const Snapshot &Now) {
  const std::size_t Slots =
      View.Record.Targets.size() * View.Record.SlotsPerTarget.Value;
  const std::size_t PerDomain =
      groupNodesPerDomain(Slots, countDomains(Now.LiveNodes));
  return accountEntries(
      serviceGroup(Now.LiveNodes, Question.Service, PerDomain),
      Question.Account, Now.Fleet.EntriesPerAccount);
}

/// Asks the steered nodes in turn, since each gives out only its own prefix.
std::optional<StoredResponse>
askSteered(const std::vector<SteeringNode> &Entries,
           const CallerRequest &Request) {
  for (const SteeringNode &Node : Entries) {
    Poco::Net::HTTPRequest Asked("GET", Request.Head.getURI());
    Asked.set(header::Hops, std::to_string(Request.Hops + 1));
    const auto Answer =
        sendOnNewConnection(Node.Endpoint, Asked, "", MaxEntriesBytes,
                            bootNow() + config::EntriesForwardTimeout);
    if (!Answer || Answer->Head.getStatus() != 200)
      continue;
    StoredResponse Given;
    Given.Status = 200;
    Given.Reason = "OK";
    Given.Headers = {{"Content-Type", "application/json"}};
    Given.Body = Answer->Body;
    return Given;
  }
  return std::nullopt;
}

Json::Value entryOf(const Address &Where, const FailureDomain &Domain) {
  Json::Value Entry(Json::objectValue);
  Entry["address"] = Where.str();
  Entry["domain"] = Domain.str();
  return Entry;
}

StoredResponse ownAnswer(NodeContext &Context,
                         const std::vector<SteeringNode> &Entries) {
  Json::Value Body(Json::objectValue);
  Json::Value &List = Body["entries"] = Json::Value(Json::arrayValue);
  const Address &Own = Context.NodeSettings.FleetAddress;
  if (!Context.Draining.load())
    List.append(entryOf(Own, Context.NodeSettings.Domain));
  for (const SteeringNode &Node : Entries)
    if (Node.Endpoint != Own)
      List.append(entryOf(Node.Endpoint, Node.Domain));
  Body["ttl_ms"] = static_cast<Json::Int64>(config::EntriesTtl.count());
  const auto Prefix =
      Context.Draining.load()
          ? std::nullopt
          : Context.Keys.prefixForNewKeys(*Context.NodeSettings.Keys);
  Body["key_prefix"] = Prefix ? Json::Value(*Prefix) : Json::Value();
  Json::StreamWriterBuilder Writer;
  Writer["indentation"] = "";
  StoredResponse Answer;
  Answer.Status = 200;
  Answer.Reason = "OK";
  Answer.Headers = {{"Content-Type", "application/json"}};
  Answer.Body = Json::writeString(Writer, Body) + "\n";
  return Answer;
}

} // namespace

HttpResult<StoredResponse> entriesResponse(NodeContext &Context,
                                           const CallerRequest &Request,
                                           const Snapshot &Now) {
  const auto Question = readQuestion(Request);
  if (!Question)
    return tl::unexpected<HttpRefusal>(Question.error());
  const auto View = Now.service(Question->Service);
  if (!View)
    return refuse(404,
                  "service " + Question->Service.str() + " is not configured");
  const auto Entries = entriesFor(*Question, *View, Now);
  const bool Steered = std::any_of(
      Entries.begin(), Entries.end(), [&](const SteeringNode &Node) {
        return Node.Endpoint == Context.NodeSettings.FleetAddress;
      });
  if ((!Steered || Context.Draining.load()) && Request.Hops == 0)
    if (auto Answer = askSteered(Entries, Request))
      return std::move(*Answer);
  return ownAnswer(Context, Entries);
}

} // namespace siskinstage
