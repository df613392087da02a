#include "node/requests/dispatcher.h"
#include "core/targets/hang_probability.h"
#include "net/boot_time.h"
#include "node/header_names.h"
#include "node/node_context.h"
#include "node/requests/revocation_check.h"
#include "node/targets/notice_log.h"
#include "node/targets/service_gate.h"
#include "node/targets/target_gauge.h"
#include "siskinstage/config.h"

#include <algorithm>
#include <cmath>
#include <thread>
#include <utility>
#include <xxhash.h>

namespace siskinstage {

namespace {

/// A probability in percent, as gossip encodes it.
std::uint32_t percentOf(double Probability) {
  constexpr double Min = 1;
  constexpr double Max = 99;
  constexpr double Percent = 100;
  return static_cast<std::uint32_t>(
      std::clamp(std::round(Probability * Percent), Min, Max));
}

/// Sleeps for a random fraction of a time that doubles with each attempt.
void waitBackoff(int Attempts, Instant Deadline) {
  constexpr int MaxDoublings = 6;
  thread_local Random Rng(
      static_cast<std::uint64_t>(bootNow().time_since_epoch().count()));
  const Duration MaxWait = std::min<Duration>(
      config::RetryBackoffBase * (1 << std::min(Attempts, MaxDoublings)),
      config::RetryBackoffCap);
  const auto Wait = std::chrono::duration_cast<Duration>(MaxWait * Rng.unit());
  std::this_thread::sleep_for(std::min(Wait, timeLeft(Deadline)));
}

Error refusalCause(ServiceGate::Refusal Reason, const std::string &Service) {
  switch (Reason) {
  case ServiceGate::Refusal::NoTarget:
    return {Step::Queue, Service, "no target is left to try"};
  case ServiceGate::Refusal::QueueFull:
    return {Step::Queue, Service, "too many requests wait for a slot"};
  case ServiceGate::Refusal::TooLate:
    return {Step::Queue, Service, "no slot comes free before the deadline"};
  case ServiceGate::Refusal::Restricted:
    return {Step::Queue, Service, "what the targets state leaves no room"};
  case ServiceGate::Refusal::NoService:
    return {Step::Route, Service, "the service is not configured"};
  case ServiceGate::Refusal::Draining:
    return {Step::Queue, Service, "the node is shutting down"};
  }
  return {Step::Queue, Service, "refused"};
}

} // namespace

Dispatcher::Dispatcher(NodeContext &Context, DispatchParams Params)
    : Context(Context), Params(std::move(Params)) {}

void Dispatcher::prepareHead() {
  this->OutgoingHead = this->Params.Request->Head;
  dropHopHeaders(this->OutgoingHead);
  this->OutgoingHead.erase("Content-Length");
  this->OutgoingHead.erase(header::Hops);
  this->OutgoingHead.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
  const Dialect &Headers = this->Context.NodeSettings.HeaderDialect;
  if (Headers.AddsVia)
    this->OutgoingHead.add("Via", "1.1 siskinstage");
  this->OutgoingHead.set(Headers.RequestId, this->Params.Request->Id.str());
  setAccountHeaders(this->OutgoingHead, this->Params.Client, Headers);
}

DispatchResult Dispatcher::refuse(int Status, Step FailedStep, std::string Peer,
                                  std::string Reason,
                                  std::optional<Duration> RoomAfter) {
  const Outcome Result = this->MayHaveRun ? Outcome::Unknown : Outcome::NotRun;
  std::optional<Duration> RetryAfter;
  if (this->Context.NodeSettings.HeaderDialect.StatusImpliesNotRun)
    Status = statusForOutcome(Status, Result);
  if (Status == 503 && Result == Outcome::NotRun)
    RetryAfter = randomRetryAfter() + RoomAfter.value_or(Duration::zero());
  return Refusal{Status,
                 Result,
                 {FailedStep, std::move(Peer), std::move(Reason)},
                 RetryAfter};
}

PlacementParams Dispatcher::placementParams() const {
  const bool Large =
      this->Params.Body->replayBuffer().size() > config::LargeBodyBytes;
  return {this->Context.NodeSettings.Domain,
          this->Tried,
          this->Params.Kind,
          Large,
          this->Params.Deadline,
          &this->Context.Drain};
}

tl::expected<TargetLease, DispatchResult> Dispatcher::acquireTarget() {
  auto Lease = this->Params.Service->Gate->acquire(this->Context.Snapshots,
                                                   this->placementParams());
  if (Lease)
    return std::move(*Lease);
  if (this->FallbackResponse)
    return tl::unexpected<DispatchResult>(std::move(*this->FallbackResponse));
  const ServiceGate::Rejection &Rejected = Lease.error();
  const Error Cause =
      refusalCause(Rejected.Reason, this->Params.Service->Record.Name.str());
  return tl::unexpected<DispatchResult>(this->refuse(
      503, Cause.FailedStep, Cause.Peer, Cause.Reason, Rejected.RetryAfter));
}

Duration Dispatcher::overdueAfter() const {
  const ServiceView &Service = *this->Params.Service;
  // While the latency of the service is unknown, the route's objective is used.
  if (Service.HighLatency == Duration::zero() &&
      this->Params.Limits.Objective > Millis::zero())
    return std::chrono::duration_cast<Duration>(
        this->Params.Limits.Objective * config::OverdueObjectiveFraction);
  if (Service.HighLatency == Duration::zero())
    return config::DefaultOverdueAge;
  const double Probability =
      DetectionLimits::forPreference(Service.Record.Detection)
          .OverdueProbability;
  return std::max<Duration>(
      config::MinOverdueAge,
      overdueAge({Service.MedianLatency, Service.HighLatency}, Probability));
}

ExchangeResult<PooledConnection> Dispatcher::connect(const TargetView &Target) {
  const bool Repeatable = this->Params.Kind == Repeatability::Repeatable;
  const Duration MaxIdle = Repeatable ? Duration(config::TargetIdleLimit)
                                      : config::AtMostOnceIdleLimit;
  auto Connection = Target.Gauge->Pool.take(Target.Spec.Endpoint, MaxIdle,
                                            this->Params.Deadline);
  if (Connection)
    return std::move(*Connection);
  return tl::unexpected<ExchangeFailure>(ExchangeFailure{
      {AttemptFailure::Kind::ConnectFailed, false, Connection.error().Reason},
      false,
      false,
      false,
      false,
      {}});
}

ExchangeResult<std::unique_ptr<TargetExchange>>
Dispatcher::attempt(TargetLease &Lease) {
  const TargetView &Target = Lease.target();
  auto Connection = this->connect(Target);
  if (!Connection)
    return tl::unexpected<ExchangeFailure>(Connection.error());
  ++this->Attempts;
  this->OutgoingHead.setHost(
      this->Params.Request->Head.get("Host", Target.Spec.Endpoint.str()));
  ExchangeParams AttemptParams = {this->OutgoingHead,
                                  this->Params.Body,
                                  this->Params.Request->Id,
                                  Target.Spec.Id,
                                  &this->Context.NodeSettings.HeaderDialect,
                                  this->Params.Deadline,
                                  this->Params.Service->Record.RequireEcho,
                                  this->Params.Caller,
                                  this->overdueAfter(),
                                  [this, &Target, Started = bootNow()] {
                                    return this->abandonOverdue(Target,
                                                                Started);
                                  },
                                  this->Params.StreamDeadline};
  auto Exchange = std::make_unique<TargetExchange>(std::move(*Connection),
                                                   std::move(AttemptParams));
  const auto Head = Exchange->run();
  if (!Head)
    return tl::unexpected<ExchangeFailure>(Head.error());
  const auto Body = Exchange->bufferBody(config::ReplayBufferBytes);
  if (!Body && !Exchange->isNotRun())
    return tl::unexpected<ExchangeFailure>(Body.error());
  return Exchange;
}

int Dispatcher::maxAttempts() const {
  const auto Allowed = static_cast<int>(this->Params.Limits.MaxAttempts);
  return Allowed == 0 ? config::MaxAttempts
                      : std::min(Allowed, config::MaxAttempts);
}

bool Dispatcher::abandonOverdue(const TargetView &Target, Instant Started) {
  if (!std::exchange(this->WasOverdue, true))
    this->observe(Target, Evidence::Overdue, bootNow() - Started);
  const ServiceView &Service = *this->Params.Service;
  const bool CanRetry = this->Params.Kind == Repeatability::Repeatable &&
                        this->Params.Body->replayable() &&
                        this->Attempts < this->maxAttempts() &&
                        this->Tried.size() < Service.Targets.size();
  const Duration Left = timeLeft(this->Params.Deadline);
  if (!CanRetry || Left <= Service.MedianLatency)
    return false;
  // After the next poll, it would be too late for a retry to end in time.
  const bool LastChance =
      Left <= Service.HighLatency + config::OverduePollPeriod;
  if (!LastChance &&
      !Service.Gate->hasHealthySlot(Service, this->placementParams()))
    return false;
  this->RetryReserved = Service.Gate->takeRetry();
  return this->RetryReserved;
}

void Dispatcher::observe(const TargetView &Target, Evidence Kind,
                         Duration Elapsed) {
  const ServiceView &Service = *this->Params.Service;
  const auto Change = Service.Gate->addEvidence(*Target.Gauge, Kind);
  this->logSuspicionChange(Target, Kind, Change);
  if (Change.Broadcast && Service.PeerNodes)
    this->Context.postCommand(SendGrayEstimate{
        {Service.Record.Name, Target.Spec.Id, percentOf(Change.After)},
        Service.PeerNodes});
  this->Context.postObservation({this->Params.Service->Record.Name,
                                 Target.Spec.Id, Kind, Elapsed, bootNow(),
                                 false});
}

void Dispatcher::logSuspicionChange(
    const TargetView &Target, Evidence Kind,
    const ServiceGate::EstimateChange &Change) const {
  const bool Suspected = Change.After >= config::GrayThreshold;
  if (Suspected == (Change.Before >= config::GrayThreshold))
    return;
  logEvent(LogLevel::Info,
           "target " + Target.Spec.Id.str() + " of service " +
               this->Params.Service->Record.Name.str() +
               (Suspected ? " is suspected of a gray failure"
                          : " is no longer suspected"),
           {{"request", this->Params.Request->Id.str()},
            {"evidence", evidenceName(Kind)},
            {"gray_percent_before", std::to_string(percentOf(Change.Before))},
            {"gray_percent_now", std::to_string(percentOf(Change.After))}});
}

void Dispatcher::recordNotices(const TargetView &Target,
                               const TargetExchange &Exchange,
                               Duration Elapsed) {
  const ServiceView &Service = *this->Params.Service;
  const auto Made =
      Service.Gate->hearNotices(Service, Target, Exchange.notices(),
                                bootNow() - Elapsed, Exchange.isNotRun());
  logNotices(Service, Target, Exchange.notices(), Made,
             "request " + this->Params.Request->Id.str());
  if (Made.Tell && Service.PeerNodes)
    this->Context.postCommand(SendRateLimit{
        {Service.Record.Name, Target.Spec.Id, Target.Spec.Process, *Made.Tell},
        Service.PeerNodes});
  if (!Made.Leaving)
    return;
  Target.Gauge->AnnouncedLeaving.store(true);
  this->observe(Target, Evidence::Leaving, Elapsed);
}

void Dispatcher::logSuspectPlacement(const TargetLease &Lease) const {
  const Placement &Placed = Lease.placed();
  if (Placed.GrayProbability < config::GrayThreshold)
    return;
  logEvent(LogLevel::Info,
           "request " + this->Params.Request->Id.str() +
               " is sent to a suspected target",
           {{"service", this->Params.Service->Record.Name.str()},
            {"target", Lease.target().Spec.Id.str()},
            {"target_domain", Lease.target().Spec.Domain.str()},
            {"gray_percent", std::to_string(percentOf(Placed.GrayProbability))},
            {"idle_ms",
             std::to_string(
                 std::chrono::duration_cast<Millis>(Placed.Idle).count())}});
}

void Dispatcher::recordResponse(const TargetView &Target,
                                TargetExchange &Exchange, Duration Elapsed) {
  if (Exchange.isNotRun())
    Target.Gauge->setReportedLoad(
        std::max(Exchange.reportedInFlight().value_or(0),
                 slotsOf(*this->Params.Service, Target)),
        bootNow());
  else if (Exchange.reportedInFlight())
    Target.Gauge->setReportedLoad(*Exchange.reportedInFlight(), bootNow());
  this->recordNotices(Target, Exchange, Elapsed);
  if (!Exchange.isNotRun())
    this->Context.RequestQuarantine.addResponse(this->RequestHash, bootNow());
  if (Exchange.isNotRun())
    this->observe(Target, Evidence::Shed, Elapsed);
  else if (Exchange.response().Status >= 500)
    this->observe(Target, Evidence::Failure, Elapsed);
  else
    this->observe(Target,
                  this->WasOverdue ? Evidence::LateSuccess : Evidence::Success,
                  Elapsed);
}

RequestFingerprint Dispatcher::hashRequest() const {
  const CallerRequest &Request = *this->Params.Request;
  const std::string Text = Request.Head.getMethod() + "\n" + Request.Host +
                           "\n" + Request.Head.getURI() + "\n" +
                           std::to_string(this->Params.Body->hash());
  return {XXH3_64bits(Text.data(), Text.size())};
}

void Dispatcher::recordCrash(const TargetView &Target) {
  if (this->Context.RequestQuarantine.addCrash(this->RequestHash,
                                               Target.Spec.Id, bootNow()))
    this->Context.postCommand(CrashReport{this->RequestHash, Target.Spec.Id});
}

void Dispatcher::logFailure(const TargetView &Target,
                            const ExchangeFailure &Failed,
                            Duration Elapsed) const {
  const TargetVerdict &Verdict = Target.Verdict;
  logEvent(
      LogLevel::Info,
      "request " + this->Params.Request->Id.str() + " failed at a target",
      {{"service", this->Params.Service->Record.Name.str()},
       {"target", Target.Spec.Id.str()},
       {"target_domain", Target.Spec.Domain.str()},
       {"failure", attemptFailureName(Failed.Attempt.Cause)},
       {"reason", Failed.Attempt.Reason},
       {"given_up", Failed.Abandoned ? "yes" : "no"},
       {"took_ms",
        std::to_string(std::chrono::duration_cast<Millis>(Elapsed).count())},
       {"sends", std::to_string(this->Attempts)},
       {"in_flight_there", std::to_string(Target.Gauge->InFlight.load())},
       {"state", targetStateName(Verdict.State)},
       {"gray_percent_now",
        std::to_string(percentOf(
            this->Params.Service->Gate->grayProbability(*Target.Gauge)))}});
}

void Dispatcher::recordFailure(const TargetView &Target,
                               const ExchangeFailure &Failed,
                               Duration Elapsed) {
  this->Context.NodeMetrics.countAttemptFailure(Failed.Attempt.Cause);
  this->logFailure(Target, Failed, Elapsed);
  if (Failed.CallerGone ||
      Failed.Attempt.Cause == AttemptFailure::Kind::DeadlinePassed)
    return;
  const bool ClosedDuringRequest =
      Failed.Attempt.BytesSent && !Failed.TimedOut &&
      Failed.Attempt.Cause != AttemptFailure::Kind::InvalidResponse;
  if (ClosedDuringRequest)
    this->recordCrash(Target);
  if (Failed.StaleReuse) {
    // The reused connection is at fault, not the target, which may be retried
    // on a new one. The other idle connections may be stale as well.
    Target.Gauge->Pool.clear();
    this->Tried.erase(Target.Spec.Id);
    return;
  }
  if (Failed.Abandoned)
    return; // Evidence::Overdue has been recorded.
  this->observe(
      Target,
      failureEvidence(Failed.Attempt.Cause, Failed.TimedOut, this->WasOverdue),
      Elapsed);
}

bool Dispatcher::allowRetry(const AttemptFailure &Failed) {
  RetryConditions Conditions;
  Conditions.Attempts = this->Attempts;
  Conditions.MaxAttempts = this->maxAttempts();
  Conditions.BodyReplayable =
      this->Params.Body->replayable() ||
      (provenOutcome(Failed) == Outcome::NotRun && !Failed.BytesSent);
  Conditions.DeadlineLeft = timeLeft(this->Params.Deadline) > Duration::zero();
  Conditions.TargetLeft =
      this->Tried.size() < this->Params.Service->Targets.size();
  if (!mayRetry(Failed, this->Params.Kind, Conditions))
    return false;
  // A failed connection costs the targets no work, so the retry is not taken
  // from the budget.
  const bool Reached = Failed.Cause != AttemptFailure::Kind::ConnectFailed;
  if (!Reached && ++this->ConnectFailures > config::MaxConnectFailures)
    return false;
  if (Reached && !std::exchange(this->RetryReserved, false) &&
      !this->Params.Service->Gate->takeRetry())
    return false;
  this->Context.NodeMetrics.countRetry();
  return true;
}

bool Dispatcher::isRetryable(TargetExchange &Exchange) const {
  const int Status = Exchange.response().Status;
  const bool ServerError =
      Status == 500 || Status == 502 || Status == 503 || Status == 504;
  return ServerError && this->Params.Kind == Repeatability::Repeatable &&
         Exchange.complete();
}

DispatchResult Dispatcher::failureResult(const TargetView &Target,
                                         const ExchangeFailure &Failed) {
  if (this->FallbackResponse)
    return std::move(*this->FallbackResponse);
  if (Failed.BodyFault)
    return this->refuse(Failed.BodyFault->Status, Step::ReadRequest, "caller",
                        Failed.BodyFault->Reason);
  const bool Refused = Failed.Attempt.Cause == AttemptFailure::Kind::Refused;
  const bool NoConnection =
      Failed.Attempt.Cause == AttemptFailure::Kind::ConnectFailed;
  Step FailedStep = Step::ReadResponse;
  if (NoConnection)
    FailedStep = Step::Connect;
  else if (Failed.Attempt.Cause == AttemptFailure::Kind::SendFailed ||
           Failed.Attempt.Cause == AttemptFailure::Kind::DeadlinePassed)
    FailedStep = Step::SendRequest;
  int Status = Refused || NoConnection ? 503 : 502;
  if (Failed.TimedOut)
    Status = 504;
  return this->refuse(Status, FailedStep, Target.Spec.Endpoint.str(),
                      Failed.Attempt.Reason);
}

DispatchResult Dispatcher::afterAttempts(Refusal Refused) {
  if (this->FallbackResponse)
    return std::move(*this->FallbackResponse);
  if (this->MayHaveRun)
    return this->refuse(502, Refused.Cause.FailedStep, Refused.Cause.Peer,
                        Refused.Cause.Reason);
  return Refused;
}

std::optional<DispatchResult> Dispatcher::checkBeforeDispatch() {
  if (this->Params.Caller != nullptr && this->Params.Caller->peerGone())
    return CallerGone{};
  if (this->Context.RequestQuarantine.isQuarantined(this->RequestHash,
                                                    bootNow()))
    return this->refuse(503, Step::Limit, "quarantine",
                        "targets crashed at this request");
  if (auto Refused = checkRevocation(this->Context, this->Params.Client))
    return this->afterAttempts(std::move(*Refused));
  setAccountHeaders(this->OutgoingHead, this->Params.Client,
                    this->Context.NodeSettings.HeaderDialect);
  const std::string &Key = this->Params.OwnedKey;
  if (!Key.empty() && !this->Context.Keys.beginDispatch(Key))
    return this->refuse(503, Step::Key, Key, "the key is not free");
  return std::nullopt;
}

std::optional<DispatchResult>
Dispatcher::acceptResponse(std::unique_ptr<TargetExchange> Exchange,
                           TargetLease &Lease, Duration Elapsed,
                           ExchangeFailure &Failed) {
  const TargetView &Target = Lease.target();
  this->recordResponse(Target, *Exchange, Elapsed);
  const bool NotRun = Exchange->isNotRun();
  if (!NotRun && !this->isRetryable(*Exchange))
    return DispatchedResponse{std::move(Exchange), std::move(Lease),
                              this->Attempts};
  Failed.Attempt = {NotRun ? AttemptFailure::Kind::Refused
                           : AttemptFailure::Kind::InvalidResponse,
                    true,
                    "status " + std::to_string(Exchange->response().Status)};
  Exchange->finish(Target.Gauge->Pool);
  if (!NotRun)
    this->FallbackResponse =
        DispatchedResponse{std::move(Exchange), TargetLease(), this->Attempts};
  return std::nullopt;
}

void Dispatcher::recordOutcome(const AttemptFailure &Failed) {
  if (provenOutcome(Failed) == Outcome::Unknown)
    this->MayHaveRun = true;
  else if (!this->Params.OwnedKey.empty())
    this->Context.Keys.retractDispatch(this->Params.OwnedKey);
}

void Dispatcher::waitBeforeRetry(const AttemptFailure &Failed) const {
  // A first rejection is no evidence about the other targets, so the retry is
  // made at once.
  if (this->Attempts > 1 || provenOutcome(Failed) == Outcome::Unknown)
    waitBackoff(this->Attempts, this->Params.Deadline);
}

DispatchResult Dispatcher::run() {
  this->prepareHead();
  this->RequestHash = this->hashRequest();
  this->Params.Service->Gate->addFirstAttempt();
  while (true) {
    auto Lease = this->acquireTarget();
    if (!Lease)
      return std::move(Lease.error());
    if (auto Result = this->checkBeforeDispatch())
      return std::move(*Result);

    this->logSuspectPlacement(*Lease);
    const TargetView Target = Lease->target();
    this->Tried.insert(Target.Spec.Id);
    const Instant Started = bootNow();
    this->WasOverdue = false;
    auto Exchange = this->attempt(*Lease);
    const Duration Elapsed = bootNow() - Started;
    ExchangeFailure Failed;
    if (Exchange) {
      if (auto Result = this->acceptResponse(std::move(*Exchange), *Lease,
                                             Elapsed, Failed))
        return std::move(*Result);
    } else {
      Failed = std::move(Exchange.error());
      this->recordFailure(Target, Failed, Elapsed);
    }
    Lease->release();
    this->recordOutcome(Failed.Attempt);
    if (Failed.CallerGone && !Failed.BodyFault)
      return CallerGone{};
    if (!this->allowRetry(Failed.Attempt))
      return this->failureResult(Target, Failed);
    this->waitBeforeRetry(Failed.Attempt);
  }
}

} // namespace siskinstage
