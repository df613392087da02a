#ifndef SISKINSTAGE_NODE_REQUEST_FLOW_H
#define SISKINSTAGE_NODE_REQUEST_FLOW_H

#include "node/caller_reply.h"
#include "node/caller_request.h"
#include "node/dispatcher.h"
#include "node/request_body.h"
#include "node/snapshot.h"

#include <optional>

namespace siskinstage {

struct NodeContext;
struct RequestKey;

/// One caller's request from its checked head to the end of its answer.
class RequestFlow {
public:
  /// \param LastThread see ConnectionHandler::serve.
  RequestFlow(NodeContext &Context, Wire &Caller, const CallerRequest &Request,
              bool LastThread);

  /// Answers the request. \returns whether the connection may go on.
  bool run();

private:
  NodeContext &Context;
  Wire &Caller;
  const CallerRequest &Request;
  const bool LastThread;
  RequestBody Body;
  CallerReply Reply;
  std::shared_ptr<const Snapshot> Now;
  std::shared_ptr<const ServiceView> Service;
  std::optional<bool> RouteRepeatable;
  Repeatability Kind = Repeatability::AtMostOnce;
  RouteLimits Limits;
  Instant Deadline;

  void answer();
  [[nodiscard]] const ServiceName &backendOf(const RouteRecord &Route) const;
  /// Finds route and service, and with them the deadline.
  /// \returns false if it has refused.
  bool route();
  /// Gives an answer that the node made itself.
  void serveInternal(const HttpResult<StoredResponse> &Answer);
  void serveUnkeyed();
  void serveKeyed(const RequestKey &Key);
  void serveOwned(const RequestKey &Key);
  void joinFlight(const RequestKey &Key);
  void dispatchOwned(const RequestKey &Key);
  void forwardToOwner(const RequestKey &Key);
  DispatchEnd dispatch(const std::string &OwnedKey);
  /// Admits the request of its account, dispatches it and releases it.
  DispatchEnd dispatchLimited(const std::string &OwnedKey);
  void give(DispatchEnd &End);
  void giveAnswer(DispatchedAnswer &Answer);
  void logAnswer(DispatchedAnswer &Answer) const;
  /// \returns whether the answer was whole to its end.
  bool stream(TargetExchange &Exchange);
  void refuse(int Status, Outcome What, Step Where, std::string Peer,
              std::string Reason);
  void refuse(const Refusal &Refused);
  void refuseBody(const ReadFault &Fault);
  [[nodiscard]] std::string keyFingerprintText() const;
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_REQUEST_FLOW_H
