#ifndef SISKINSTAGE_NODE_REQUESTS_REQUEST_FLOW_H
#define SISKINSTAGE_NODE_REQUESTS_REQUEST_FLOW_H

#include "node/callers/caller_request.h"
#include "node/callers/request_body.h"
#include "node/callers/response_writer.h"
#include "node/requests/dispatcher.h"
#include "node/snapshot.h"

#include <optional>

namespace siskinstage {

struct NodeContext;
struct RequestKey;

/// Processes one request of a caller, from its validated head to the end of the
/// response.
class RequestFlow {
public:
  /// \param LastThread see ConnectionHandler::serve.
  RequestFlow(NodeContext &Context, TcpConnection &Caller,
              const CallerRequest &Request, bool LastThread);

  /// Processes the request and sends the response. \returns whether the
  /// connection may be kept open.
  bool run();

private:
  NodeContext &Context;
  TcpConnection &Caller;
  const CallerRequest &Request;
  const bool LastThread;
  RequestBody Body;
  ResponseWriter Writer;
  std::shared_ptr<const Snapshot> Current;
  std::shared_ptr<const ServiceView> Service;
  ClientAccount Client;
  std::optional<bool> RouteRepeatable;
  Repeatability Kind = Repeatability::AtMostOnce;
  RouteLimits Limits;
  Instant Deadline;

  /// Handles the request by its path, its key or its route.
  void process();
  /// Determines the client account. \returns false if it has refused the
  /// request for its API key.
  bool checkAccount();
  /// The service of the route; with weighted backends, one drawn at random.
  [[nodiscard]] const ServiceName &
  selectService(const RouteRecord &Route) const;
  /// Determines the route, the service and the deadline.
  /// \returns false if it has refused the request, for which there may also be
  ///          no time left before the process exits.
  bool route();
  /// Sends a response that the node itself generated.
  void serveInternal(const HttpResult<StoredResponse> &Response);
  void serveUnkeyed();
  void serveKeyed(const RequestKey &Key);
  /// Serves a keyed request of which this node owns the key.
  void serveOwned(const RequestKey &Key);
  /// Waits for an earlier request with the same key, and sends its result.
  void awaitFirstRequest(const RequestKey &Key);
  /// Dispatches the first request with its key, and stores its result.
  void dispatchOwned(const RequestKey &Key);
  void forwardToOwner(const RequestKey &Key);
  DispatchResult dispatch(const std::string &OwnedKey);
  /// Dispatches the request if the limits of its client account admit it.
  DispatchResult dispatchWithinLimits(const std::string &OwnedKey);
  /// Dispatches the request if the quota of its account admits it.
  DispatchResult dispatchWithinQuota(const std::string &OwnedKey);
  void sendResult(DispatchResult &Result);
  void sendResponse(DispatchedResponse &Response);
  void logResponse(DispatchedResponse &Response) const;
  /// Sends a response while it is read from the target. \returns whether it was
  /// sent completely.
  bool stream(TargetExchange &Exchange);
  void refuse(int Status, Outcome Result, Step FailedStep, std::string Peer,
              std::string Reason);
  void refuse(const Refusal &Refused);
  void refuseBody(const ReadFault &Fault);
  /// The parts of the request that a resend with the same key must repeat.
  [[nodiscard]] std::string keyFingerprintText() const;
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_REQUESTS_REQUEST_FLOW_H
