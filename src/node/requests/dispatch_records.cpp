// What Dispatcher records and logs of its attempts.
#include "core/targets/hang_probability.h"
#include "net/boot_time.h"
#include "node/node_context.h"
#include "node/requests/dispatcher.h"
#include "node/targets/notice_log.h"
#include "node/targets/service_gate.h"
#include "node/targets/target_gauge.h"
#include "siskinstage/config.h"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

using Poco::Net::HTTPResponse;

namespace siskinstage {

namespace {

constexpr double Percent = 100;

/// A probability in percent, as gossip encodes it.
std::uint32_t percentOf(double Probability) {
  constexpr double Min = 1;
  constexpr double Max = 99;
  return static_cast<std::uint32_t>(
      std::clamp(std::round(Probability * Percent), Min, Max));
}

/// A rate as gossip encodes it.
std::uint32_t perMinute(double PerSecond) {
  constexpr double SecondsPerMinute = 60;
  return static_cast<std::uint32_t>(std::round(PerSecond * SecondsPerMinute));
}

} // namespace

void Dispatcher::countUnserved() {
  if (!std::exchange(this->CountedUnserved, true))
    this->Params.Service->Gate->addUnserved();
}

void Dispatcher::countResult(const DispatchResult &Result) {
  constexpr int FirstServerError = 500;
  if (std::holds_alternative<CallerGone>(Result))
    return;
  if (const auto *Refused = std::get_if<Refusal>(&Result)) {
    // What its caller, its key or the quarantine forbids is no failure of the
    // service.
    const Step Failed = Refused->Cause.FailedStep;
    if (Refused->Status >= FirstServerError && Failed != Step::Limit &&
        Failed != Step::Key)
      this->countUnserved();
    return;
  }
  const auto &Response = std::get<DispatchedResponse>(Result);
  if (Response.Exchange->response().Status >= FirstServerError)
    this->countUnserved();
  else if (std::exchange(this->CountedUnserved, false))
    this->Params.Service->Gate->takeBackUnserved();
}

void Dispatcher::observe(const TargetView &Target, Evidence Kind,
                         Duration Elapsed) {
  const ServiceView &Service = *this->Params.Service;
  const Instant Now = bootNow();
  if (Kind == Evidence::Overdue)
    this->OverdueAt = Now;
  // A request that must not run twice is probably lost once it is overdue;
  // its failure would count too late.
  if (Kind == Evidence::Overdue &&
      this->Params.Kind == Repeatability::AtMostOnce)
    this->countUnserved();
  const auto Change = Service.Gate->addEvidence(
      *Target.Gauge, Kind,
      Kind == Evidence::Timeout && this->WasOverdue ? this->OverdueAt : Now);
  this->logSuspicionChange(Target, Kind, Change);
  if (Change.Broadcast && Service.PeerNodes)
    this->Context.postCommand(SendGrayEstimate{
        {Service.Record.Name, Target.Spec.Id, percentOf(Change.After),
         perMinute(Change.Load.ArrivalsPerSecond),
         perMinute(Change.Load.UnservedPerSecond)},
        Service.PeerNodes});
  this->Context.postObservation({this->Params.Service->Record.Name,
                                 Target.Spec.Id, Kind, Elapsed, Now, false});
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
            {"trial_urgency_percent",
             std::to_string(std::lround(Placed.TrialUrgency * Percent))},
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
  if (!Exchange.isNotRun() && Exchange.response().Status < 500)
    this->Params.Service->Gate->observeWork(
        this->Params.Limits.Route, Elapsed,
        this->Params.Body->replayBuffer().size());
  // A target that fails may not have begun to run the request.
  if (!Exchange.isNotRun() && Exchange.response().Status < 500)
    this->Context.RequestQuarantine.addResponse(this->RequestHash, bootNow());
  if (Exchange.isNotRun())
    this->observe(Target, Evidence::Shed, Elapsed);
  else if (Exchange.response().Status >= 500)
    // A target that hangs may say at its deadline that it did.
    this->observe(Target,
                  this->WasOverdue && Exchange.response().Status ==
                                          HTTPResponse::HTTP_GATEWAY_TIMEOUT
                      ? Evidence::Timeout
                      : Evidence::Failure,
                  Elapsed);
  else
    this->observe(Target,
                  this->WasOverdue ? Evidence::LateSuccess : Evidence::Success,
                  Elapsed);
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
       {"given_up", Failed.SetAside ? "yes" : "no"},
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
  // The end of a wait in a planned stop tells nothing about the target.
  if (Failed.CallerGone || Failed.ShuttingDown ||
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
  if (Failed.SetAside)
    return; // Evidence::Overdue has been recorded.
  this->observe(
      Target,
      failureEvidence(Failed.Attempt.Cause, Failed.TimedOut, this->WasOverdue),
      Elapsed);
}

RequestFingerprint Dispatcher::hashRequest() const {
  const CallerRequest &Request = *this->Params.Request;
  // How much of a longer body has been read depends on the pieces in which it
  // arrives.
  const std::string &Read = this->Params.Body->replayBuffer();
  const std::size_t Hashed = std::min(Read.size(), config::ReplayBufferBytes);
  const std::string Text = Request.Head.getMethod() + "\n" + Request.Host +
                           "\n" + Request.Head.getURI() + "\n" +
                           std::to_string(XXH3_64bits(Read.data(), Hashed));
  return {XXH3_64bits(Text.data(), Text.size())};
}

void Dispatcher::abandonSetAside() {
  for (const Attempt &Left : this->SetAside)
    this->recordFailure(Left.Lease.target(), Left.Interrupted,
                        bootNow() - Left.Started);
  this->SetAside.clear();
}

void Dispatcher::recordOutcome(const AttemptFailure &Failed) {
  if (provenOutcome(Failed) == Outcome::Unknown)
    this->MayHaveRun = true;
  else if (!this->Params.OwnedKey.empty())
    this->Context.Keys.retractDispatch(this->Params.OwnedKey);
}

} // namespace siskinstage
