#include "node/dispatcher.h"
#include "core/hang_probability.h"
#include "net/boot_time.h"
#include "node/header_names.h"
#include "node/node_context.h"
#include "node/service_gate.h"
#include "node/target_gauge.h"
#include "siskinstage/config.h"

#include <algorithm>
#include <cmath>
#include <thread>
#include <utility>
#include <xxhash.h>

namespace siskinstage {

namespace {

/// A chance as gossip carries it.
std::uint32_t percentOf(double Chance) {
  constexpr double Least = 1;
  constexpr double Most = 99;
  constexpr double Percent = 100;
  return static_cast<std::uint32_t>(
      std::clamp(std::round(Chance * Percent), Least, Most));
}

/// Waits for a random part of a time that doubles with each try.
void backOff(int Attempts, Instant Deadline) {
  constexpr int MaxDoublings = 6;
  thread_local Random Dice(
      static_cast<std::uint64_t>(bootNow().time_since_epoch().count()));
  const Duration Longest = std::min<Duration>(
      config::RetryBackoffBase * (1 << std::min(Attempts, MaxDoublings)),
      config::RetryBackoffCap);
  const auto Wait = std::chrono::duration_cast<Duration>(Longest * Dice.unit());
  std::this_thread::sleep_for(std::min(Wait, timeLeft(Deadline)));
}

Error refusedBy(ServiceGate::Refusal Why, const std::string &Service) {
  switch (Why) {
  case ServiceGate::Refusal::NoTarget:
    return {Step::Queue, Service, "no target is left to try"};
  case ServiceGate::Refusal::QueueFull:
    return {Step::Queue, Service, "too many requests wait for a slot"};
  case ServiceGate::Refusal::TooLate:
    return {Step::Queue, Service, "no slot comes free before the deadline"};
  case ServiceGate::Refusal::NoService:
    return {Step::Route, Service, "the service is not configured"};
  }
  return {Step::Queue, Service, "refused"};
}

} // namespace

Dispatcher::Dispatcher(NodeContext &Context, DispatchOrder Order)
    : Context(Context), Order(std::move(Order)) {}

void Dispatcher::prepareHead() {
  this->Outgoing = this->Order.Request->Head;
  dropHopHeaders(this->Outgoing);
  this->Outgoing.erase("Content-Length");
  this->Outgoing.erase(header::Hops);
  this->Outgoing.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
  const Dialect &Speak = this->Context.NodeSettings.HeaderDialect;
  if (Speak.AddsVia)
    this->Outgoing.add("Via", "1.1 siskinstage");
  this->Outgoing.set(Speak.RequestId, this->Order.Request->Id.str());
}

DispatchEnd Dispatcher::refuse(int Status, Step Where, std::string Peer,
                               std::string Reason) {
  const Outcome What = this->MayHaveRun ? Outcome::Unknown : Outcome::NotRun;
  std::optional<Duration> RetryAfter;
  if (this->Context.NodeSettings.HeaderDialect.StatusPromises)
    Status = truthfulStatus(Status, What);
  if (Status == 503 && What == Outcome::NotRun)
    RetryAfter = spreadRetryAfter();
  return Refusal{
      Status, What, {Where, std::move(Peer), std::move(Reason)}, RetryAfter};
}

PlacementOrder Dispatcher::placement() const {
  const bool Large = this->Order.Body->held().size() > config::LargeBodyBytes;
  return {this->Context.NodeSettings.Domain, this->Tried, this->Order.Kind,
          Large, this->Order.Deadline};
}

tl::expected<TargetLease, DispatchEnd> Dispatcher::enter() {
  auto Lease = this->Order.Service->Gate->enter(this->Context.Snapshots,
                                                this->placement());
  if (Lease)
    return std::move(*Lease);
  if (this->Spare)
    return tl::unexpected<DispatchEnd>(std::move(*this->Spare));
  const Error Cause =
      refusedBy(Lease.error(), this->Order.Service->Record.Name.str());
  return tl::unexpected<DispatchEnd>(
      this->refuse(503, Cause.FailedStep, Cause.Peer, Cause.Reason));
}

Duration Dispatcher::overdueAfter() const {
  const ServiceView &Service = *this->Order.Service;
  // Without a usual latency only the route can tell what is overdue.
  if (Service.HighLatency == Duration::zero() &&
      this->Order.Limits.Objective > Millis::zero())
    return std::chrono::duration_cast<Duration>(
        this->Order.Limits.Objective * config::OverdueObjectiveFraction);
  if (Service.HighLatency == Duration::zero())
    return config::DefaultOverdueAge;
  const double Chance = DetectionLimits::forPreference(Service.Record.Detection)
                            .OverdueProbability;
  return std::max<Duration>(
      config::MinOverdueAge,
      overdueAge({Service.MedianLatency, Service.HighLatency}, Chance));
}

ExchangeResult<PooledConnection> Dispatcher::connect(const TargetView &Target) {
  const bool Repeatable = this->Order.Kind == Repeatability::Repeatable;
  const Duration MaxSilence = Repeatable ? Duration(config::TargetIdleLimit)
                                         : config::AtMostOnceIdleLimit;
  auto Taken = Target.Gauge->Pool.take(Target.Spec.Endpoint, MaxSilence,
                                       this->Order.Deadline);
  if (Taken)
    return std::move(*Taken);
  return tl::unexpected<ExchangeFailure>(ExchangeFailure{
      {AttemptFailure::Kind::ConnectFailed, false, Taken.error().Reason},
      false,
      false,
      false,
      false,
      {}});
}

ExchangeResult<std::unique_ptr<TargetExchange>>
Dispatcher::attempt(TargetLease &Lease) {
  const TargetView &Target = Lease.target();
  auto Taken = this->connect(Target);
  if (!Taken)
    return tl::unexpected<ExchangeFailure>(Taken.error());
  ++this->Attempts;
  this->Outgoing.setHost(
      this->Order.Request->Head.get("Host", Target.Spec.Endpoint.str()));
  ExchangeOrder Exchange = {this->Outgoing,
                            this->Order.Body,
                            this->Order.Request->Id,
                            Target.Spec.Id,
                            &this->Context.NodeSettings.HeaderDialect,
                            this->Order.Deadline,
                            this->Order.Service->Record.RequireEcho,
                            this->Order.Caller,
                            this->overdueAfter(),
                            [this, &Target, Started = bootNow()] {
                              return this->giveUpOverdue(Target, Started);
                            },
                            this->Order.StreamEnd};
  auto Running =
      std::make_unique<TargetExchange>(std::move(*Taken), std::move(Exchange));
  const auto Ran = Running->run();
  if (!Ran)
    return tl::unexpected<ExchangeFailure>(Ran.error());
  const auto Held = Running->holdBody(config::ReplayBufferBytes);
  if (!Held && !Running->saidNotRun())
    return tl::unexpected<ExchangeFailure>(Held.error());
  return Running;
}

int Dispatcher::maxAttempts() const {
  const auto Allowed = static_cast<int>(this->Order.Limits.MaxAttempts);
  return Allowed == 0 ? config::MaxAttempts
                      : std::min(Allowed, config::MaxAttempts);
}

bool Dispatcher::giveUpOverdue(const TargetView &Target, Instant Started) {
  if (!std::exchange(this->WasOverdue, true))
    this->observe(Target, Evidence::Overdue, bootNow() - Started);
  const ServiceView &Service = *this->Order.Service;
  const bool Another = this->Order.Kind == Repeatability::Repeatable &&
                       this->Order.Body->replayable() &&
                       this->Attempts < this->maxAttempts() &&
                       this->Tried.size() < Service.Targets.size();
  const Duration Left = timeLeft(this->Order.Deadline);
  if (!Another || Left <= Service.MedianLatency)
    return false;
  // The last moment at which another try can still end in time.
  const bool LastChance =
      Left <= Service.HighLatency + config::OverduePollPeriod;
  if (!LastChance && !Service.Gate->hasSoundRoom(Service, this->placement()))
    return false;
  this->RetryPaid = Service.Gate->takeRetry();
  return this->RetryPaid;
}

void Dispatcher::observe(const TargetView &Target, Evidence What,
                         Duration Took) {
  const ServiceView &Service = *this->Order.Service;
  const auto Gray = Service.Gate->note(*Target.Gauge, What);
  this->logDoubt(Target, What, Gray);
  if (Gray.Tell && Service.PeerNodes)
    this->Context.postCommand(SendGrayEstimate{
        {Service.Record.Name, Target.Spec.Id, percentOf(Gray.After)},
        Service.PeerNodes});
  this->Context.postObservation({this->Order.Service->Record.Name,
                                 Target.Spec.Id, What, Took, bootNow(), false});
}

void Dispatcher::logDoubt(const TargetView &Target, Evidence What,
                          const ServiceGate::BeliefChange &Gray) const {
  const bool Doubted = Gray.After >= config::GrayThreshold;
  if (Doubted == (Gray.Before >= config::GrayThreshold))
    return;
  logEvent(LogLevel::Info,
           "target " + Target.Spec.Id.str() + " of service " +
               this->Order.Service->Record.Name.str() +
               (Doubted ? " is doubted" : " is trusted again"),
           {{"request", this->Order.Request->Id.str()},
            {"evidence", evidenceName(What)},
            {"gray_percent_before", std::to_string(percentOf(Gray.Before))},
            {"gray_percent_now", std::to_string(percentOf(Gray.After))}});
}

void Dispatcher::logTrial(const TargetLease &Lease) const {
  const Placement &Placed = Lease.placed();
  if (Placed.GrayProbability < config::GrayThreshold)
    return;
  logEvent(LogLevel::Info,
           "request " + this->Order.Request->Id.str() +
               " tries a doubted target",
           {{"service", this->Order.Service->Record.Name.str()},
            {"target", Lease.target().Spec.Id.str()},
            {"target_domain", Lease.target().Spec.Domain.str()},
            {"gray_percent", std::to_string(percentOf(Placed.GrayProbability))},
            {"idle_ms",
             std::to_string(
                 std::chrono::duration_cast<Millis>(Placed.Idle).count())}});
}

void Dispatcher::noteAnswer(const TargetView &Target, TargetExchange &Exchange,
                            Duration Took) {
  if (Exchange.saidNotRun())
    Target.Gauge->noteLoad(std::max(Exchange.reportedInFlight().value_or(0),
                                    slotsOf(*this->Order.Service, Target)),
                           bootNow());
  else if (Exchange.reportedInFlight())
    Target.Gauge->noteLoad(*Exchange.reportedInFlight(), bootNow());
  if (Exchange.saidLeaving()) {
    Target.Gauge->AnnouncedLeaving.store(true);
    this->observe(Target, Evidence::Leaving, Took);
  }
  if (!Exchange.saidNotRun())
    this->Context.RequestQuarantine.addResponse(this->Print, bootNow());
  if (Exchange.saidNotRun())
    this->observe(Target, Evidence::Shed, Took);
  else if (Exchange.answer().Status >= 500)
    this->observe(Target, Evidence::Failure, Took);
  else
    this->observe(Target,
                  this->WasOverdue ? Evidence::LateSuccess : Evidence::Success,
                  Took);
}

RequestFingerprint Dispatcher::printOf() const {
  const CallerRequest &Request = *this->Order.Request;
  const std::string Text = Request.Head.getMethod() + "\n" + Request.Host +
                           "\n" + Request.Head.getURI() + "\n" +
                           std::to_string(this->Order.Body->hash());
  return {XXH3_64bits(Text.data(), Text.size())};
}

void Dispatcher::noteCrash(const TargetView &Target) {
  if (this->Context.RequestQuarantine.addCrash(this->Print, Target.Spec.Id,
                                               bootNow()))
    this->Context.postCommand(CrashNews{this->Print, Target.Spec.Id});
}

void Dispatcher::logFailure(const TargetView &Target,
                            const ExchangeFailure &Failed,
                            Duration Took) const {
  const TargetVerdict &Verdict = Target.Verdict;
  logEvent(LogLevel::Info,
           "request " + this->Order.Request->Id.str() + " failed at a target",
           {{"service", this->Order.Service->Record.Name.str()},
            {"target", Target.Spec.Id.str()},
            {"target_domain", Target.Spec.Domain.str()},
            {"failure", attemptFailureName(Failed.Attempt.What)},
            {"reason", Failed.Attempt.Reason},
            {"given_up", Failed.GivenUp ? "yes" : "no"},
            {"took_ms",
             std::to_string(std::chrono::duration_cast<Millis>(Took).count())},
            {"sends", std::to_string(this->Attempts)},
            {"in_flight_there", std::to_string(Target.Gauge->InFlight.load())},
            {"state", targetStateName(Verdict.State)},
            {"gray_percent_now",
             std::to_string(percentOf(
                 this->Order.Service->Gate->grayProbability(*Target.Gauge)))}});
}

void Dispatcher::noteFailure(const TargetView &Target,
                             const ExchangeFailure &Failed, Duration Took) {
  this->Context.NodeMetrics.countAttemptFailure(Failed.Attempt.What);
  this->logFailure(Target, Failed, Took);
  if (Failed.CallerGone ||
      Failed.Attempt.What == AttemptFailure::Kind::DeadlinePassed)
    return;
  const bool BrokeOff =
      Failed.Attempt.BytesSent && !Failed.TimedOut &&
      Failed.Attempt.What != AttemptFailure::Kind::InvalidResponse;
  if (BrokeOff)
    this->noteCrash(Target);
  if (Failed.StaleReuse) {
    // The connection is at fault; the others may be as silent. The target may
    // be tried again on a new one.
    Target.Gauge->Pool.clear();
    this->Tried.erase(Target.Spec.Id);
    return;
  }
  if (Failed.GivenUp)
    return; // That it was overdue has been noted.
  this->observe(
      Target,
      failureEvidence(Failed.Attempt.What, Failed.TimedOut, this->WasOverdue),
      Took);
}

bool Dispatcher::retry(const AttemptFailure &Failed) {
  RetryCircumstances Now;
  Now.Attempts = this->Attempts;
  Now.MaxAttempts = this->maxAttempts();
  Now.BodyReplayable =
      this->Order.Body->replayable() ||
      (provedBy(Failed) == Outcome::NotRun && !Failed.BytesSent);
  Now.DeadlineLeft = timeLeft(this->Order.Deadline) > Duration::zero();
  Now.TargetLeft = this->Tried.size() < this->Order.Service->Targets.size();
  if (!mayRetry(Failed, this->Order.Kind, Now))
    return false;
  // What reached no target costs none of them anything.
  const bool Reached = Failed.What != AttemptFailure::Kind::ConnectFailed;
  if (!Reached && ++this->Unreached > config::MaxConnectFailures)
    return false;
  if (Reached && !std::exchange(this->RetryPaid, false) &&
      !this->Order.Service->Gate->takeRetry())
    return false;
  this->Context.NodeMetrics.countRetry();
  return true;
}

bool Dispatcher::worthRetrying(TargetExchange &Exchange) const {
  const int Status = Exchange.answer().Status;
  const bool Sick =
      Status == 500 || Status == 502 || Status == 503 || Status == 504;
  return Sick && this->Order.Kind == Repeatability::Repeatable &&
         Exchange.whole();
}

DispatchEnd Dispatcher::giveUp(const TargetView &Target,
                               const ExchangeFailure &Failed) {
  if (this->Spare)
    return std::move(*this->Spare);
  if (Failed.BodyFault)
    return this->refuse(Failed.BodyFault->Status, Step::ReadRequest, "caller",
                        Failed.BodyFault->Reason);
  const bool Refused = Failed.Attempt.What == AttemptFailure::Kind::Refused;
  const bool NoConnection =
      Failed.Attempt.What == AttemptFailure::Kind::ConnectFailed;
  Step Where = Step::ReadResponse;
  if (NoConnection)
    Where = Step::Connect;
  else if (Failed.Attempt.What == AttemptFailure::Kind::SendFailed ||
           Failed.Attempt.What == AttemptFailure::Kind::DeadlinePassed)
    Where = Step::SendRequest;
  int Status = Refused || NoConnection ? 503 : 502;
  if (Failed.TimedOut)
    Status = 504;
  return this->refuse(Status, Where, Target.Spec.Endpoint.str(),
                      Failed.Attempt.Reason);
}

std::optional<DispatchEnd> Dispatcher::checkBeforeDispatch() {
  if (this->Order.Caller != nullptr && this->Order.Caller->peerGone())
    return CallerGone{};
  if (this->Context.RequestQuarantine.isQuarantined(this->Print, bootNow()))
    return this->refuse(503, Step::Limit, "quarantine",
                        "targets crashed at this request");
  const std::string &Key = this->Order.OwnedKey;
  if (!Key.empty() && !this->Context.Keys.beginDispatch(Key))
    return this->refuse(503, Step::Key, Key, "the key is not free");
  return std::nullopt;
}

std::optional<DispatchEnd>
Dispatcher::takeAnswer(std::unique_ptr<TargetExchange> Exchange,
                       TargetLease &Lease, Duration Took,
                       ExchangeFailure &Failed) {
  const TargetView &Target = Lease.target();
  this->noteAnswer(Target, *Exchange, Took);
  const bool NotRun = Exchange->saidNotRun();
  if (!NotRun && !this->worthRetrying(*Exchange))
    return DispatchedAnswer{std::move(Exchange), std::move(Lease),
                            this->Attempts};
  Failed.Attempt = {NotRun ? AttemptFailure::Kind::Refused
                           : AttemptFailure::Kind::InvalidResponse,
                    true,
                    "status " + std::to_string(Exchange->answer().Status)};
  Exchange->finish(Target.Gauge->Pool);
  if (!NotRun)
    this->Spare =
        DispatchedAnswer{std::move(Exchange), TargetLease(), this->Attempts};
  return std::nullopt;
}

void Dispatcher::noteProof(const AttemptFailure &Failed) {
  if (provedBy(Failed) == Outcome::Unknown)
    this->MayHaveRun = true;
  else if (!this->Order.OwnedKey.empty())
    this->Context.Keys.retractDispatch(this->Order.OwnedKey);
}

void Dispatcher::waitBeforeRetry(const AttemptFailure &Failed) const {
  // A first refusal says nothing of the other targets: no wait for them.
  if (this->Attempts > 1 || provedBy(Failed) == Outcome::Unknown)
    backOff(this->Attempts, this->Order.Deadline);
}

DispatchEnd Dispatcher::run() {
  this->prepareHead();
  this->Print = this->printOf();
  this->Order.Service->Gate->firstTry();
  while (true) {
    auto Lease = this->enter();
    if (!Lease)
      return std::move(Lease.error());
    if (auto End = this->checkBeforeDispatch())
      return std::move(*End);

    this->logTrial(*Lease);
    const TargetView Target = Lease->target();
    this->Tried.insert(Target.Spec.Id);
    const Instant Started = bootNow();
    this->WasOverdue = false;
    auto Ran = this->attempt(*Lease);
    const Duration Took = bootNow() - Started;
    ExchangeFailure Failed;
    if (Ran) {
      if (auto End = this->takeAnswer(std::move(*Ran), *Lease, Took, Failed))
        return std::move(*End);
    } else {
      Failed = std::move(Ran.error());
      this->noteFailure(Target, Failed, Took);
    }
    Lease->release();
    this->noteProof(Failed.Attempt);
    if (Failed.CallerGone && !Failed.BodyFault)
      return CallerGone{};
    if (!this->retry(Failed.Attempt))
      return this->giveUp(Target, Failed);
    this->waitBeforeRetry(Failed.Attempt);
  }
}

} // namespace siskinstage
