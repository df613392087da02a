#ifndef SISKINSTAGE_NODE_REQUESTS_REQUEST_FLOW_H
#define SISKINSTAGE_NODE_REQUESTS_REQUEST_FLOW_H

#include "node/callers/caller_request.h"
#include "node/callers/connection_handler.h"
#include "node/callers/request_body.h"
#include "node/callers/response_writer.h"
#include "node/requests/account_slot.h"
#include "node/requests/dispatcher.h"
#include "node/snapshot.h"

#include <functional>
#include <optional>

namespace siskinstage {

struct NodeContext;
struct RequestKey;

/// Processes one request of a caller, from its validated head to the end of the
/// response. A request without an idempotency key holds no thread while it
/// waits for its body, a slot or a retry.
class RequestFlow {
public:
  /// \param Wake called when proceed() is to be called again. Any thread may
  ///        call it, also after the request has ended.
  RequestFlow(NodeContext &Context, TcpConnection &Caller,
              const CallerRequest &Request, RequestProgress &Progress,
              std::function<void()> Wake);

  /// Processes the request as far as possible, and sends the response.
  /// \param MayBlock see ServeTurn::MayBlock.
  /// \returns the state of the connection; not Incomplete.
  ConnectionHandler::Next proceed(bool MayBlock);

private:
  /// What a suspended request waits for; nothing if it has ended.
  using Pause = std::optional<ConnectionHandler::Next>;
  enum class Stage { Start, Body, Dispatch };

  NodeContext &Context;
  TcpConnection &Caller;
  const CallerRequest &Request;
  RequestProgress &Progress;
  const std::function<void()> Wake;
  bool MayBlock = true; ///< Of the current call of proceed().
  Stage Reached = Stage::Start;
  RequestBody Body;
  ResponseWriter Writer;
  std::shared_ptr<const Snapshot> Current;
  std::shared_ptr<const ServiceView> Service;
  ClientAccount Client;
  std::optional<bool> RouteRepeatable;
  Repeatability Kind = Repeatability::AtMostOnce;
  RouteLimits Limits;
  Instant Deadline;
  /// When the timer of the current stage wakes the request.
  Instant TimerAt;
  std::optional<AccountSlot> Admitted;
  bool QuotaTaken = false; ///< A token of the account's quota was taken.
  std::optional<Dispatcher> Running; ///< Of an unkeyed request.

  /// Handles the request by its path, its key or its route.
  Pause process();
  /// Determines the client account. \returns false if it has refused the
  /// request for its API key.
  bool checkAccount();
  /// Suspends the request until a thread may block for it. It is rejected if
  /// there is none before \p Limit.
  Pause awaitThread(Instant Limit);
  /// Wakes the request at \p At.
  void setTimer(Instant At);
  /// The service of the route; with weighted backends, one drawn at random.
  [[nodiscard]] const ServiceName &
  selectService(const RouteRecord &Route) const;
  /// Determines the route, the service and the deadline.
  /// \returns false if it has refused the request, for which there may also be
  ///          no time left before the process exits.
  bool route();
  /// Sends a response that the node itself generated.
  void serveInternal(const HttpResult<StoredResponse> &Response);
  /// Starts a request without a key.
  Pause serveUnkeyed();
  /// Reads the body as far as it has been received.
  Pause readBody();
  Pause continueDispatch();
  void serveKeyed(const RequestKey &Key);
  /// Serves a keyed request of which this node owns the key.
  void serveOwned(const RequestKey &Key);
  /// Waits for an earlier request with the same key, and sends its result.
  void awaitFirstRequest(const RequestKey &Key);
  /// Dispatches the first request with its key, and stores its result.
  void dispatchOwned(const RequestKey &Key);
  void forwardToOwner(const RequestKey &Key);
  /// Dispatches the request if the limits of its client account admit it.
  /// Blocks until it has ended.
  DispatchResult dispatchBlocking(const std::string &OwnedKey);
  /// Holds the request to the limits of its client account. \returns the
  /// refusal if they don't admit it.
  std::optional<Refusal> admitAccount();
  /// The same for an account with a quota over all nodes.
  std::optional<Refusal> admitByQuota();
  /// Gives the token back if the request was refused for another reason.
  void returnQuota(const DispatchResult &Result);
  [[nodiscard]] DispatchParams dispatchParams(const std::string &OwnedKey,
                                              std::function<void()> Wake);
  void sendResult(DispatchResult &Result);
  void sendResponse(DispatchedResponse &Response);
  void logResponse(DispatchedResponse &Response) const;
  /// The caller has closed its connection while its request waited.
  void closeForGoneCaller();
  /// Milliseconds since the request arrived, for the log.
  [[nodiscard]] std::string elapsedText() const;
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
