#include "node/requests/dispatcher.h"
#include "core/targets/hang_probability.h"
#include "net/boot_time.h"
#include "node/header_names.h"
#include "node/node_context.h"
#include "node/requests/revocation_check.h"
#include "node/targets/service_gate.h"
#include "node/targets/target_gauge.h"
#include "siskinstage/config.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace siskinstage {

namespace {

/// A random fraction of a time that doubles with each attempt.
Duration backoffTime(int Attempts) {
  constexpr int MaxDoublings = 6;
  thread_local Random Rng(
      static_cast<std::uint64_t>(bootNow().time_since_epoch().count()));
  const Duration MaxWait = std::min<Duration>(
      config::RetryBackoffBase * (1 << std::min(Attempts, MaxDoublings)),
      config::RetryBackoffCap);
  return std::chrono::duration_cast<Duration>(MaxWait * Rng.unit());
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
  const std::size_t BodyBytes = this->Params.Body->replayBuffer().size();
  PlacementParams Placed;
  Placed.OwnDomain = this->Context.NodeSettings.Domain;
  Placed.Tried = this->Tried;
  Placed.Kind = this->Params.Kind;
  Placed.LargeBody = BodyBytes > config::LargeBodyBytes;
  Placed.Deadline = this->Params.Deadline;
  Placed.Drain = &this->Context.Drain;
  Placed.Timers = this->Context.Timers.get();
  Placed.Account = this->Params.Client.Name;
  Placed.Priority = this->Params.Client.Priority;
  if (this->Params.Limits.Objective > Millis::zero())
    Placed.Objective =
        this->Params.Request->Arrived + this->Params.Limits.Objective;
  Placed.Route = this->Params.Limits.Route;
  Placed.LatencyObjective = this->Params.Limits.Objective;
  Placed.BodyBytes = BodyBytes;
  Placed.Bytes = config::WaitingRequestBytes + BodyBytes;
  return Placed;
}

DispatchResult Dispatcher::rejectionResult(const GateRejection &Rejected) {
  if (this->FallbackResponse)
    return std::move(*this->FallbackResponse);
  this->Context.NodeMetrics.countQueueRejection(refusalName(Rejected.Reason),
                                                this->Params.Client.Priority);
  const Error Cause =
      refusalCause(Rejected.Reason, this->Params.Service->Record.Name.str());
  return this->refuse(503, Cause.FailedStep, Cause.Peer, Cause.Reason,
                      Rejected.RetryAfter);
}

std::optional<DispatchResult> Dispatcher::acquireTarget() {
  std::optional<SlotWait::Result> Decided;
  if (this->Wait) {
    Decided = this->Wait->take();
  } else {
    auto Result = this->Params.Service->Gate->acquire(
        this->Context.Snapshots, this->placementParams(), this->Params.Wake,
        bootNow());
    if (auto *Started = std::get_if<SlotWait>(&Result))
      this->Wait.emplace(std::move(*Started));
    else if (auto *Acquired = std::get_if<TargetLease>(&Result))
      Decided = std::move(*Acquired);
    else
      Decided = tl::unexpected<GateRejection>(std::get<GateRejection>(Result));
  }
  if (!Decided)
    return std::nullopt;
  this->Wait.reset();
  if (!*Decided)
    return this->rejectionResult(Decided->error());
  this->Lease = std::move(**Decided);
  return std::nullopt;
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
  auto Connection = Target.Gauge->Pool.take(
      Target.Spec.Endpoint, MaxIdle,
      this->Context.Drain.waitLimit(this->Params.Deadline));
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

ExchangeResult<void> Dispatcher::send(Attempt &Made) {
  const TargetView &Target = Made.Lease.target();
  auto Connection = this->connect(Target);
  if (!Connection)
    return tl::unexpected<ExchangeFailure>(Connection.error());
  // Not before a slot is free: a request that waits holds one head only.
  if (++this->Attempts == 1)
    this->prepareHead();
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
                                  this->firstOverdueCheck(),
                                  [this, Target, Started = bootNow()] {
                                    return this->leaveOverdue(Target, Started);
                                  },
                                  this->Params.StreamDeadline,
                                  this->Context.Drain.waitsEnd()};
  if (this->Params.Progress != nullptr)
    this->Params.Progress->reach(RequestProgress::Stage::AtTarget);
  Made.Exchange = std::make_unique<TargetExchange>(std::move(*Connection),
                                                   std::move(AttemptParams));
  return receive(Made, Made.Exchange->run());
}

ExchangeResult<void> Dispatcher::receive(Attempt &Made,
                                         const ExchangeResult<void> &Head) {
  if (!Head)
    return Head;
  const auto Body = Made.Exchange->bufferBody(config::ReplayBufferBytes);
  if (!Body && !Made.Exchange->isNotRun())
    return Body;
  return {};
}

int Dispatcher::maxAttempts() const {
  const auto Allowed = static_cast<int>(this->Params.Limits.MaxAttempts);
  return Allowed == 0 ? config::MaxAttempts
                      : std::min(Allowed, config::MaxAttempts);
}

Duration Dispatcher::firstOverdueCheck() const {
  const Duration Overdue = this->overdueAfter();
  // An attempt that was set aside may get its response before this one is
  // overdue.
  return this->SetAside.empty()
             ? Overdue
             : std::min<Duration>(Overdue, config::OverduePollPeriod);
}

bool Dispatcher::leaveOverdue(const TargetView &Target, Instant Started) {
  if (!this->SetAside.empty() && this->nextSetAside()->Exchange->hasInput())
    return true;
  const Duration Elapsed = bootNow() - Started;
  if (Elapsed < this->overdueAfter())
    return false;
  if (!std::exchange(this->WasOverdue, true))
    this->observe(Target, Evidence::Overdue, Elapsed);
  return this->acquireRetry();
}

bool Dispatcher::acquireRetry() {
  const ServiceView &Service = *this->Params.Service;
  const bool CanRetry = this->Params.Kind == Repeatability::Repeatable &&
                        this->Params.Body->replayable() &&
                        this->Attempts < this->maxAttempts() &&
                        this->ConnectFailures <= config::MaxConnectFailures;
  const Duration Left = timeLeft(this->Params.Deadline);
  if (!CanRetry || Left <= Service.MedianLatency)
    return false;
  // Checked first, so that a request that may not be sent again keeps its
  // target.
  if (!this->maySendAgain())
    return false;
  // After the next poll, it would be too late for a retry to end in time.
  const bool LastChance =
      Left <= Service.HighLatency + config::OverduePollPeriod;
  this->Lease = Service.Gate->tryAcquireRetry(
      this->Context.Snapshots, this->placementParams(),
      LastChance ? ServiceGate::RetrySlot::Any
                 : ServiceGate::RetrySlot::ProbablyHealthy,
      bootNow());
  this->Checked = this->Lease.has_value();
  if (this->Checked)
    this->Context.NodeMetrics.countRetry();
  return this->Checked;
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
  if (Reached && !this->Params.Service->Gate->takeRetry())
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

bool Dispatcher::maySendAgain() {
  const bool CallerLeft =
      this->Params.Caller != nullptr && this->Params.Caller->peerGone();
  return !CallerLeft &&
         !this->Context.RequestQuarantine.isQuarantined(this->RequestHash,
                                                        bootNow()) &&
         !checkRevocation(this->Context, this->Params.Client);
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
  // It may have waited for a thread since it got its slot.
  if (this->isPastDrain())
    return this->rejectionResult({ServiceGate::Refusal::Draining, {}});
  setAccountHeaders(this->OutgoingHead, this->Params.Client,
                    this->Context.NodeSettings.HeaderDialect);
  const std::string &Key = this->Params.OwnedKey;
  if (!Key.empty() && !this->Context.Keys.beginDispatch(Key))
    return this->refuse(503, Step::Key, Key, "the key is not free");
  return std::nullopt;
}

bool Dispatcher::isPastDrain() const {
  const Instant Now = bootNow();
  return Now >= this->Context.Drain.sendLimit(this->Params.Deadline) &&
         Now < this->Params.Deadline;
}

std::optional<DispatchResult>
Dispatcher::acceptResponse(Attempt &Made, Duration Elapsed,
                           ExchangeFailure &Failed) {
  const TargetView &Target = Made.Lease.target();
  TargetExchange &Exchange = *Made.Exchange;
  this->recordResponse(Target, Exchange, Elapsed);
  const bool NotRun = Exchange.isNotRun();
  if (!NotRun && !this->isRetryable(Exchange)) {
    this->abandonSetAside();
    return DispatchedResponse{std::move(Made.Exchange), std::move(Made.Lease),
                              this->Attempts};
  }
  Failed.Attempt = {NotRun ? AttemptFailure::Kind::Refused
                           : AttemptFailure::Kind::InvalidResponse,
                    true,
                    "status " + std::to_string(Exchange.response().Status)};
  Exchange.finish(Target.Gauge->Pool);
  if (!NotRun)
    this->FallbackResponse = DispatchedResponse{std::move(Made.Exchange),
                                                TargetLease(), this->Attempts};
  return std::nullopt;
}

void Dispatcher::scheduleRetry(const AttemptFailure &Failed) {
  this->RetryAt = bootNow();
  // A first rejection is no evidence about the other targets, so the retry is
  // made at once.
  if (this->Attempts <= 1 && provenOutcome(Failed) != Outcome::Unknown)
    return;
  this->RetryAt = std::min(this->RetryAt + backoffTime(this->Attempts),
                           this->Params.Deadline);
  this->Context.Timers->callAt(this->RetryAt, this->Params.Wake);
}

std::optional<DispatchResult> Dispatcher::attemptOnce() {
  Attempt Made{std::move(*this->Lease), {}, nullptr, {}, {}, {}};
  this->Lease.reset();
  if (!std::exchange(this->Checked, false))
    if (auto Result = this->checkBeforeDispatch())
      return Result;
  this->logSuspectPlacement(Made.Lease);
  this->Tried.insert(Made.Lease.target().Spec.Id);
  Made.Started = bootNow();
  this->WasOverdue = false;
  const auto Received = this->send(Made);
  return this->finishAttempt(std::move(Made), Received);
}

std::vector<Dispatcher::Attempt>::iterator Dispatcher::nextSetAside() {
  const auto Ended =
      std::find_if(this->SetAside.begin(), this->SetAside.end(),
                   [](const Attempt &One) { return One.Exchange->hasInput(); });
  return Ended == this->SetAside.end() ? std::prev(Ended) : Ended;
}

std::optional<DispatchResult> Dispatcher::resumeAttempt() {
  const auto Next = this->nextSetAside();
  Attempt Made = std::move(*Next);
  this->SetAside.erase(Next);
  this->WasOverdue = Made.WasOverdue;
  this->OverdueAt = Made.OverdueAt;
  const auto Received = receive(Made, Made.Exchange->resume());
  return this->finishAttempt(std::move(Made), Received);
}

std::optional<DispatchResult>
Dispatcher::finishAttempt(Attempt Made, const ExchangeResult<void> &Received) {
  const TargetView Target = Made.Lease.target();
  const Duration Elapsed = bootNow() - Made.Started;
  ExchangeFailure Failed;
  if (Received) {
    if (auto Result = this->acceptResponse(Made, Elapsed, Failed))
      return Result;
  } else if (Received.error().SetAside) {
    Made.Interrupted = Received.error();
    Made.WasOverdue = this->WasOverdue;
    Made.OverdueAt = this->OverdueAt;
    this->recordOutcome(Made.Interrupted.Attempt);
    this->SetAside.push_back(std::move(Made));
    return std::nullopt;
  } else {
    Failed = Received.error();
    this->recordFailure(Target, Failed, Elapsed);
  }
  Made.Exchange.reset(); // The slot is free once the connection is closed.
  Made.Lease.release();
  this->recordOutcome(Failed.Attempt);
  if (Failed.CallerGone && !Failed.BodyFault)
    return CallerGone{};
  if (!this->SetAside.empty()) {
    if (Failed.Attempt.Cause == AttemptFailure::Kind::ConnectFailed)
      ++this->ConnectFailures;
    return std::nullopt;
  }
  if (Failed.ShuttingDown || !this->allowRetry(Failed.Attempt))
    return this->failureResult(Target, Failed);
  this->scheduleRetry(Failed.Attempt);
  return std::nullopt;
}

void Dispatcher::start() {
  this->RequestHash = this->hashRequest();
  this->Params.Service->Gate->addFirstAttempt();
}

std::optional<DispatchResult> Dispatcher::proceed(bool MayBlock) {
  auto Result = this->advance(MayBlock);
  if (Result)
    this->countResult(*Result);
  return Result;
}

std::optional<DispatchResult> Dispatcher::advance(bool MayBlock) {
  if (!std::exchange(this->Started, true))
    this->start();
  while (true) {
    if (!this->Lease && !this->SetAside.empty()) {
      if (auto Result = this->resumeAttempt())
        return Result;
      continue;
    }
    if (!this->Lease && bootNow() >= this->RetryAt)
      if (auto Rejected = this->acquireTarget())
        return Rejected;
    if (!this->Lease || !MayBlock) {
      if (this->isPastDrain())
        return this->rejectionResult({ServiceGate::Refusal::Draining, {}});
      if (this->Params.Caller != nullptr && this->Params.Caller->peerGone())
        return CallerGone{};
      if (this->Lease && bootNow() >= this->Params.Deadline)
        return this->rejectionResult({ServiceGate::Refusal::TooLate, {}});
      return std::nullopt;
    }
    if (auto Result = this->attemptOnce())
      return Result;
  }
}

} // namespace siskinstage
