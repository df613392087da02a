#ifndef SISKINSTAGE_NODE_DISPATCHER_H
#define SISKINSTAGE_NODE_DISPATCHER_H

#include "core/quarantine.h"
#include "core/repeatability.h"
#include "node/caller_request.h"
#include "node/refusal.h"
#include "node/request_body.h"
#include "node/service_gate.h"
#include "node/snapshot.h"
#include "node/target_exchange.h"
#include "node/target_lease.h"

#include <memory>
#include <optional>
#include <set>
#include <variant>

namespace siskinstage {

struct NodeContext;

/// What a route allows its requests; zero leaves it to the defaults.
struct RouteLimits {
  std::uint32_t MaxAttempts = 0;
  Millis Timeout{};
  Millis Objective{};
};

/// A request on its way to the targets of one service.
struct DispatchOrder {
  const CallerRequest *Request = nullptr;
  RequestBody *Body = nullptr;
  std::shared_ptr<const ServiceView> Service;
  Repeatability Kind = Repeatability::AtMostOnce;
  RouteLimits Limits;
  Instant Deadline;
  /// See ExchangeOrder.
  std::optional<Instant> StreamEnd;
  /// Watched, so that work whose caller has gone is cancelled; null for keyed
  /// requests, whose caller may come back for the answer.
  const Wire *Caller = nullptr;
  /// The key under which this node dispatches, empty for none.
  std::string OwnedKey;
};

/// The answer of a target. Its body is whole in Exchange, or goes on there.
struct DispatchedAnswer {
  std::unique_ptr<TargetExchange> Exchange;
  TargetLease Lease;
  int Sends = 1; ///< Targets that the request was sent to.
};

/// The caller has gone and nobody waits for an answer.
struct CallerGone {};

using DispatchEnd = std::variant<DispatchedAnswer, Refusal, CallerGone>;

/// Sends one request to a target, and to another one as far as retries are
/// allowed.
class Dispatcher {
public:
  Dispatcher(NodeContext &Context, DispatchOrder Order);

  DispatchEnd run();

private:
  NodeContext &Context;
  DispatchOrder Order;
  Poco::Net::HTTPRequest Outgoing;
  std::set<TargetId> Tried;
  int Attempts = 0;  ///< Targets that it was sent to.
  int Unreached = 0; ///< Targets that could not be reached.
  bool MayHaveRun = false;
  /// A retry was taken from the budget when the try was given up.
  bool RetryPaid = false;
  bool WasOverdue = false; ///< The present try was.
  /// An answer of 500 or above, given if no retry brings a better one.
  std::optional<DispatchedAnswer> Spare;

  void prepareHead();
  [[nodiscard]] PlacementOrder placement() const;
  tl::expected<TargetLease, DispatchEnd> enter();
  ExchangeResult<std::unique_ptr<TargetExchange>> attempt(TargetLease &Lease);
  ExchangeResult<PooledConnection> connect(const TargetView &Target);
  /// Time after which a request without an answer counts against its target.
  [[nodiscard]] Duration overdueAfter() const;
  RequestFingerprint Print;

  [[nodiscard]] RequestFingerprint printOf() const;
  [[nodiscard]] int maxAttempts() const;
  /// Decides on a try that is overdue. \returns whether to give it up.
  bool giveUpOverdue(const TargetView &Target, Instant Started);
  void noteCrash(const TargetView &Target);
  /// Notes evidence of a finished try.
  void noteAnswer(const TargetView &Target, TargetExchange &Exchange,
                  Duration Took);
  /// Says that evidence made a target probably gray, or no longer.
  void logDoubt(const TargetView &Target, Evidence What,
                const ServiceGate::BeliefChange &Gray) const;
  /// Says that the request was placed on a target that is probably gray.
  void logTrial(const TargetLease &Lease) const;
  /// Says what failed where, and what was believed of the target before.
  void logFailure(const TargetView &Target, const ExchangeFailure &Failed,
                  Duration Took) const;
  void noteFailure(const TargetView &Target, const ExchangeFailure &Failed,
                   Duration Took);
  void observe(const TargetView &Target, Evidence What, Duration Took);
  /// What ends the request before its next dispatch, if anything.
  std::optional<DispatchEnd> checkBeforeDispatch();
  /// The end, if the answer is the caller's; else fills \p Failed.
  std::optional<DispatchEnd>
  takeAnswer(std::unique_ptr<TargetExchange> Exchange, TargetLease &Lease,
             Duration Took, ExchangeFailure &Failed);
  /// Notes what the failure proves of the request.
  void noteProof(const AttemptFailure &Failed);
  void waitBeforeRetry(const AttemptFailure &Failed) const;
  bool retry(const AttemptFailure &Failed);
  [[nodiscard]] bool worthRetrying(TargetExchange &Exchange) const;
  DispatchEnd giveUp(const TargetView &Target, const ExchangeFailure &Failed);
  DispatchEnd refuse(int Status, Step Where, std::string Peer,
                     std::string Reason);
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_DISPATCHER_H
