#ifndef SISKINSTAGE_NODE_REQUESTS_DISPATCHER_H
#define SISKINSTAGE_NODE_REQUESTS_DISPATCHER_H

#include "core/requests/quarantine.h"
#include "core/requests/repeatability.h"
#include "node/callers/caller_request.h"
#include "node/callers/request_body.h"
#include "node/requests/account_check.h"
#include "node/requests/open_requests.h"
#include "node/requests/refusal.h"
#include "node/snapshot.h"
#include "node/targets/service_gate.h"
#include "node/targets/target_exchange.h"
#include "node/targets/target_lease.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace siskinstage {

struct NodeContext;

/// Limits that a route sets for its requests; zero means the default.
struct RouteLimits {
  std::uint32_t MaxAttempts = 0;
  Millis Timeout{};
  Millis Objective{}; ///< Latency objective.
  RouteName Route;
};

/// A request to dispatch to a target of one service.
struct DispatchParams {
  const CallerRequest *Request = nullptr;
  RequestBody *Body = nullptr;
  ClientAccount Client;
  std::shared_ptr<const ServiceView> Service;
  Repeatability Kind = Repeatability::AtMostOnce;
  RouteLimits Limits;
  Instant Deadline;
  /// See ExchangeParams::StreamDeadline.
  std::optional<Instant> StreamDeadline;
  /// Watched, so that the request is cancelled when its caller disconnects;
  /// null for keyed requests, whose caller may resend to get the response.
  const TcpConnection *Caller = nullptr;
  /// The idempotency key, owned by this node; empty for an unkeyed request.
  std::string OwnedKey;
  /// Called when Dispatcher::proceed() is to be called again. Any thread may
  /// call it, also after the request has ended.
  std::function<void()> Wake;
  RequestProgress *Progress = nullptr; ///< Told how far the request has come.
};

/// The response of a target. Exchange holds its body, or continues to read it.
struct DispatchedResponse {
  std::unique_ptr<TargetExchange> Exchange;
  TargetLease Lease;
  int Attempts = 1; ///< Number of times that the request was sent.
};

/// The caller disconnected; no response is needed.
struct CallerGone {};

using DispatchResult = std::variant<DispatchedResponse, Refusal, CallerGone>;

/// Sends one request to a target, and retries it at other targets where that is
/// safe, may succeed before the deadline, and is within the retry budget.
class Dispatcher {
public:
  Dispatcher(NodeContext &Context, DispatchParams Params);

  /// Sends the request as soon as a target has a slot for it, and blocks until
  /// the target has responded.
  /// \param MayBlock if false, the request is not sent.
  /// \returns nothing while the request waits for a slot, a retry or, see
  ///          needsThread(), a thread.
  std::optional<DispatchResult> proceed(bool MayBlock);
  /// Whether the request has a slot, but may not block to use it.
  [[nodiscard]] bool needsThread() const { return this->Lease.has_value(); }

private:
  /// One attempt, from its slot to its result.
  struct Attempt {
    TargetLease Lease;
    Instant Started;
    std::unique_ptr<TargetExchange> Exchange; ///< Null without a connection.
    /// Valid if it was set aside.
    ExchangeFailure Interrupted;
    bool WasOverdue = false;
    Instant OverdueAt;
  };

  NodeContext &Context;
  DispatchParams Params;
  Poco::Net::HTTPRequest OutgoingHead;
  std::set<TargetId> Tried;
  int Attempts = 0;        ///< Number of times that the request was sent.
  int ConnectFailures = 0; ///< Attempts without a connection.
  bool MayHaveRun = false; ///< Not every attempt is proved not to have run.
  bool WasOverdue = false; ///< Of the current attempt.
  Instant OverdueAt;       ///< When it became overdue.
  bool Started = false;
  bool CountedUnserved = false;     ///< See ServiceGate::addUnserved().
  Instant RetryAt;                  ///< When the next attempt may be made.
  std::optional<SlotWait> Wait;     ///< The wait for a slot.
  std::optional<TargetLease> Lease; ///< The slot of the next attempt.
  bool Checked = false; ///< checkBeforeDispatch() has passed for Lease.
  /// Attempts that were overdue when the request was sent to another target.
  /// Their targets may still be at work: if the later attempt fails, one of
  /// them is resumed, and no refusal takes the place of its response.
  std::vector<Attempt> SetAside;
  /// A response with a retryable status, returned if no retry succeeds.
  std::optional<DispatchedResponse> FallbackResponse;

  /// proceed() without counting the result.
  std::optional<DispatchResult> advance(bool MayBlock);
  /// Counts the request as one that is not served, once.
  void countUnserved();
  /// Counts the request by its result.
  void countResult(const DispatchResult &Result);
  /// Derives the head sent to targets from that of the caller.
  void prepareHead();
  [[nodiscard]] PlacementParams placementParams() const;
  void start();
  /// Sets the lease, unless the request waits. \returns the result if it is
  /// rejected.
  std::optional<DispatchResult> acquireTarget();
  DispatchResult rejectionResult(const GateRejection &Rejected);
  /// Sends the request to the target of the lease. \returns nothing if it is to
  /// be retried.
  std::optional<DispatchResult> attemptOnce();
  /// Waits on for the response of an attempt that was set aside.
  std::optional<DispatchResult> resumeAttempt();
  /// The attempt to resume: one that has ended, else the last.
  [[nodiscard]] std::vector<Attempt>::iterator nextSetAside();
  /// Connects to the target, sends the request and reads the response.
  ExchangeResult<void> send(Attempt &Made);
  /// Reads the response body once \p Head, its head, was read.
  static ExchangeResult<void> receive(Attempt &Made,
                                      const ExchangeResult<void> &Head);
  /// Evaluates the result of an attempt. \returns nothing if the request is to
  /// be sent again, or an attempt to be resumed.
  std::optional<DispatchResult>
  finishAttempt(Attempt Made, const ExchangeResult<void> &Received);
  ExchangeResult<PooledConnection> connect(const TargetView &Target);
  /// Time after which a request without a response is overdue: that is evidence
  /// against its target, and the request may be retried.
  [[nodiscard]] Duration overdueAfter() const;
  RequestFingerprint RequestHash; ///< Identifies the request in the quarantine.

  [[nodiscard]] RequestFingerprint hashRequest() const;
  [[nodiscard]] int maxAttempts() const;
  /// Time until leaveOverdue() is first called for an attempt.
  [[nodiscard]] Duration firstOverdueCheck() const;
  /// Called while an attempt has no response. \returns whether to set it aside,
  /// as an earlier one has ended, or the request may be sent to another target.
  bool leaveOverdue(const TargetView &Target, Instant Started);
  /// Sets the lease of a further attempt and takes a retry from the budget.
  /// \returns false if there is no slot or retry, or the request must not be
  ///          sent again.
  bool acquireRetry();
  /// Records that the attempts that were set aside end without a response.
  void abandonSetAside();
  void recordCrash(const TargetView &Target);
  /// Records the evidence of a response.
  void recordResponse(const TargetView &Target, TargetExchange &Exchange,
                      Duration Elapsed);
  /// Records what a response states about the requests that its target
  /// accepts, and tells the other nodes.
  void recordNotices(const TargetView &Target, const TargetExchange &Exchange,
                     Duration Elapsed);
  /// Logs that a target became suspected of a gray failure, or ceased to be.
  void logSuspicionChange(const TargetView &Target, Evidence Kind,
                          const ServiceGate::EstimateChange &Change) const;
  /// Logs that the request was placed at a suspected target.
  void logSuspectPlacement(const TargetLease &Lease) const;
  /// Logs the failure with the state of the target.
  void logFailure(const TargetView &Target, const ExchangeFailure &Failed,
                  Duration Elapsed) const;
  void recordFailure(const TargetView &Target, const ExchangeFailure &Failed,
                     Duration Elapsed);
  /// Adds evidence to the estimate of the target, and sends it to the decision
  /// thread and, if needed, to the other nodes.
  void observe(const TargetView &Target, Evidence Kind, Duration Elapsed);
  /// Whether a request that is at a target may be sent to another one.
  [[nodiscard]] bool maySendAgain();
  /// The result if the request must not be sent: its caller disconnected, it is
  /// quarantined, or its key is in use.
  std::optional<DispatchResult> checkBeforeDispatch();
  /// Whether the drain leaves no time to send the request to a target.
  [[nodiscard]] bool isPastDrain() const;
  /// The result if the request must not be sent for \p Refused; it may have
  /// run in an earlier attempt.
  DispatchResult afterAttempts(Refusal Refused);
  /// The result if the response is to be returned to the caller; else sets
  /// \p Failed.
  std::optional<DispatchResult> acceptResponse(Attempt &Made, Duration Elapsed,
                                               ExchangeFailure &Failed);
  /// Records whether the request may have run, given the failure.
  void recordOutcome(const AttemptFailure &Failed);
  /// Sets the time of the next attempt.
  void scheduleRetry(const AttemptFailure &Failed);
  /// Whether to make another attempt; takes a retry from the budget if so.
  bool allowRetry(const AttemptFailure &Failed);
  /// Whether the response has a retryable status (500, 502, 503 or 504) and is
  /// complete, and the request may run more than once.
  [[nodiscard]] bool isRetryable(TargetExchange &Exchange) const;
  /// The result after the last attempt has failed.
  DispatchResult failureResult(const TargetView &Target,
                               const ExchangeFailure &Failed);
  /// \param RoomAfter time until there may be room for the request, if known.
  DispatchResult refuse(int Status, Step FailedStep, std::string Peer,
                        std::string Reason,
                        std::optional<Duration> RoomAfter = std::nullopt);
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_REQUESTS_DISPATCHER_H
