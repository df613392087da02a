// How RequestFlow sends responses and refusals.
#include "net/boot_time.h"
#include "node/node_context.h"
#include "node/requests/request_flow.h"
#include "node/targets/target_gauge.h"

namespace siskinstage {

void RequestFlow::refuse(const Refusal &Refused) {
  if (!this->Body.complete() || Refused.ClosesConnection)
    this->Writer.closeAfter();
  this->Context.NodeMetrics.countRefusal(Refused.Cause.FailedStep,
                                         Refused.RequestOutcome);
  logEvent(Refused.RequestOutcome == Outcome::Unknown ? LogLevel::Warn
                                                      : LogLevel::Info,
           "request " + this->Request.Id.str() + " is refused",
           {{"outcome", outcomeName(Refused.RequestOutcome)},
            {"step", stepName(Refused.Cause.FailedStep)},
            {"peer", Refused.Cause.Peer},
            {"reason", Refused.Cause.Reason},
            {"took_ms", this->elapsedText()}});
  this->Progress.reach(RequestProgress::Stage::Response);
  this->Writer.sendRefusal(Refused);
}

void RequestFlow::refuse(int Status, Outcome Result, Step FailedStep,
                         std::string Peer, std::string Reason) {
  std::optional<Duration> RetryAfter;
  if (Status == 503 && Result == Outcome::NotRun)
    RetryAfter = randomRetryAfter();
  this->refuse(Refusal{Status,
                       Result,
                       {FailedStep, std::move(Peer), std::move(Reason)},
                       RetryAfter});
}

void RequestFlow::refuseBody(const ReadFault &Fault) {
  this->Writer.closeAfter();
  if (const auto *Malformed = std::get_if<HttpRefusal>(&Fault))
    this->refuse(Malformed->Status, Outcome::NotRun, Step::ReadRequest,
                 "caller", Malformed->Reason);
  else
    this->refuse(408, Outcome::NotRun, Step::ReadRequest, "caller",
                 readFaultText(Fault));
}

void RequestFlow::sendResult(DispatchResult &Result) {
  if (auto *Response = std::get_if<DispatchedResponse>(&Result))
    this->sendResponse(*Response);
  else if (const auto *Refused = std::get_if<Refusal>(&Result))
    this->refuse(*Refused);
  else
    this->closeForGoneCaller();
}

void RequestFlow::closeForGoneCaller() {
  logEvent(LogLevel::Info,
           "the caller of request " + this->Request.Id.str() + " has gone",
           {{"took_ms", this->elapsedText()}});
  this->Writer.closeAfter();
}

std::string RequestFlow::elapsedText() const {
  const auto Elapsed =
      std::chrono::duration_cast<Millis>(bootNow() - this->Request.Arrived);
  return std::to_string(Elapsed.count());
}

void RequestFlow::sendResponse(DispatchedResponse &Response) {
  this->Progress.reach(RequestProgress::Stage::Response);
  TargetExchange &Exchange = *Response.Exchange;
  this->logResponse(Response);
  this->Context.NodeMetrics.countResponse(Exchange.response().Status);
  if (Exchange.isRequestBodyUnread())
    this->Writer.closeAfter();
  if (Exchange.complete()) {
    const TargetView Target = Response.Lease.target();
    if (Target.Gauge)
      Exchange.finish(Target.Gauge->Pool);
    Response.Lease.release();
    this->Writer.sendComplete(Exchange.response());
    return;
  }
  const TargetView Target = Response.Lease.target();
  if (this->stream(Exchange)) {
    Exchange.finish(Target.Gauge->Pool);
    return;
  }
  this->Context.NodeMetrics.countAttemptFailure(
      AttemptFailure::Kind::IncompleteResponse);
}

void RequestFlow::logResponse(DispatchedResponse &Response) const {
  const TargetView &Target = Response.Lease.target();
  logEvent(LogLevel::Debug,
           "request " + this->Request.Id.str() + " got a response",
           {{"status", std::to_string(Response.Exchange->response().Status)},
            {"service", this->Service->Record.Name.str()},
            {"target", Target.Spec.Id.str()},
            {"target_domain", Target.Spec.Domain.str()},
            {"sent_to", std::to_string(Response.Attempts)},
            {"took_ms", this->elapsedText()}});
}

bool RequestFlow::stream(TargetExchange &Exchange) {
  this->Writer.sendHead(Exchange.response(), Exchange.length());
  bool Accepted = this->Writer.sendPart(Exchange.response().Body);
  while (Accepted && !Exchange.complete()) {
    const auto Part = Exchange.nextPart();
    if (!Part) {
      logEvent(LogLevel::Warn,
               "the response to request " + this->Request.Id.str() +
                   " was cut off: " + Part.error().Attempt.Reason);
      this->Writer.abort();
      return false;
    }
    Accepted = this->Writer.sendPart(*Part);
  }
  if (Accepted)
    this->Writer.finish();
  return Accepted;
}

} // namespace siskinstage
