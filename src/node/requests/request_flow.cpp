#include "node/requests/request_flow.h"
#include "core/requests/pick_backend.h"
#include "core/requests/request_key.h"
#include "net/boot_time.h"
#include "node/fleet/entries_response.h"
#include "node/fleet/peer_api.h"
#include "node/header_names.h"
#include "node/node_context.h"
#include "node/requests/owner_forward.h"
#include "node/targets/target_gauge.h"
#include "siskinstage/config.h"

#include <algorithm>
#include <xxhash.h>

namespace siskinstage {

namespace {

/// Ends a key if its request is left by an exception, so that no resend waits
/// for it. Has no effect on a key in a final state.
class KeyGuard {
public:
  KeyGuard(KeyOwner &Keys, const std::string &Key) : Keys(Keys), Key(Key) {}
  ~KeyGuard() { this->Keys.endNotRun(this->Key); }
  KeyGuard(const KeyGuard &) = delete;
  KeyGuard &operator=(const KeyGuard &) = delete;

private:
  KeyOwner &Keys;
  const std::string &Key;
};

Fingerprint fingerprintOf(const std::string &Text) {
  return {XXH3_64bits(Text.data(), Text.size())};
}

} // namespace

RequestFlow::RequestFlow(NodeContext &Context, TcpConnection &Caller,
                         const CallerRequest &Request, bool LastThread)
    : Context(Context), Caller(Caller), Request(Request),
      LastThread(LastThread),
      Body(Caller, Request.Framing, Request.ExpectContinue,
           Request.Arrived + Request.TimeLeft.value_or(config::DefaultDeadline),
           Context.Drain),
      Writer(Caller, Request, Context.NodeSettings.HeaderDialect,
             Context.Drain),
      Current(Context.Snapshots.get()) {}

bool RequestFlow::run() {
  this->process();
  // The unread rest of a body would be parsed as the next request.
  if (!this->Body.complete())
    this->Writer.closeAfter();
  this->Context.NodeMetrics.observeLatency(bootNow() - this->Request.Arrived);
  return !this->Writer.closes();
}

void RequestFlow::refuse(const Refusal &Refused) {
  if (!this->Body.complete())
    this->Writer.closeAfter();
  this->Context.NodeMetrics.countRefusal(Refused.Cause.FailedStep,
                                         Refused.RequestOutcome);
  logEvent(Refused.RequestOutcome == Outcome::Unknown ? LogLevel::Warn
                                                      : LogLevel::Info,
           "request " + this->Request.Id.str() + " is refused",
           {{"outcome", outcomeName(Refused.RequestOutcome)},
            {"step", stepName(Refused.Cause.FailedStep)},
            {"peer", Refused.Cause.Peer},
            {"reason", Refused.Cause.Reason}});
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

const ServiceName &RequestFlow::selectService(const RouteRecord &Route) const {
  if (Route.Backends.empty())
    return Route.Service;
  thread_local Random Rng(
      static_cast<std::uint64_t>(bootNow().time_since_epoch().count()));
  return Route.Backends[pickBackend(Route.Backends, Rng)].Service;
}

bool RequestFlow::checkAccount() {
  auto Checked =
      checkClientAccount(this->Context, *this->Current, this->Request);
  if (!Checked) {
    this->refuse(Checked.error());
    return false;
  }
  this->Client = std::move(*Checked);
  return true;
}

bool RequestFlow::route() {
  const RouteRecord *Route = this->Current->Routes.find(
      this->Request.Host, this->Request.Path, this->Request.Head.getMethod());
  if (Route == nullptr) {
    this->refuse(404, Outcome::NotRun, Step::Route, this->Request.Path,
                 "no route matches host, path and method");
    return false;
  }
  const ServiceName &Chosen = this->selectService(*Route);
  this->Service = this->Current->service(Chosen);
  if (!this->Service) {
    this->refuse(503, Outcome::NotRun, Step::Route, Chosen.str(),
                 "route " + Route->Name.str() +
                     " names a service that is not configured");
    return false;
  }
  this->RouteRepeatable = Route->Repeatable;
  this->Limits = {Route->MaxAttempts, Route->Timeout, Route->Objective};
  const Millis Limit =
      std::min(this->Request.TimeLeft.value_or(this->Service->Record.Deadline),
               config::MaxDeadline);
  this->Deadline = this->Request.Arrived + Limit;
  if (this->Limits.Timeout > Millis::zero())
    this->Deadline =
        std::min(this->Deadline, this->Request.Arrived + this->Limits.Timeout);
  this->Body.setDeadline(this->Deadline);
  if (bootNow() >= this->Context.Drain.sendLimit(this->Deadline)) {
    this->refuse(503, Outcome::NotRun, Step::Queue,
                 this->Context.NodeSettings.Id.str(),
                 "the node is shutting down");
    return false;
  }
  return true;
}

void RequestFlow::process() {
  if (this->Request.Path.rfind(PeerPathPrefix, 0) == 0) {
    this->serveInternal(handlePeerRequest(this->Context, this->Request));
    return;
  }
  const bool Keyed = this->Request.Key.has_value();
  if (this->LastThread) {
    this->Writer.disableWaiting();
    this->refuse(503, Keyed ? Outcome::Unknown : Outcome::NotRun, Step::Queue,
                 this->Context.NodeSettings.Id.str(), "all threads are taken");
    return;
  }
  if (!this->Current->Configured) {
    this->refuse(503, Keyed ? Outcome::Unknown : Outcome::NotRun, Step::Route,
                 this->Context.NodeSettings.Id.str(),
                 "the node is not ready yet");
    return;
  }
  if (this->Request.Path == EntriesPath) {
    this->serveInternal(
        entriesResponse(this->Context, this->Request, *this->Current));
    return;
  }
  if (!this->checkAccount())
    return;
  if (this->Request.Key) {
    const auto Key =
        parseRequestKey(*this->Request.Key, *this->Context.NodeSettings.Keys);
    if (!Key) {
      this->refuse(Key.error().Status, Outcome::NotRun, Step::Key, "caller",
                   Key.error().Reason);
      return;
    }
    this->serveKeyed(*Key);
    return;
  }
  if (this->route())
    this->serveUnkeyed();
}

void RequestFlow::serveInternal(const HttpResult<StoredResponse> &Response) {
  const auto Drained = this->Body.drain();
  if (!Drained) {
    this->refuseBody(Drained.error());
    return;
  }
  if (!Response) {
    this->refuse(Response.error().Status, Outcome::NotRun, Step::ReadRequest,
                 "caller", Response.error().Reason);
    return;
  }
  this->Writer.sendComplete(*Response);
}

void RequestFlow::serveUnkeyed() {
  const auto Decided =
      decideRepeatability(this->Request.RepeatableValue, this->RouteRepeatable,
                          this->Request.Head.getMethod());
  if (!Decided) {
    this->refuse(400, Outcome::NotRun, Step::ReadRequest, "caller",
                 Decided.error().Reason);
    return;
  }
  this->Kind = *Decided;
  const auto Buffered = this->Body.fillReplayBuffer();
  if (!Buffered) {
    this->refuseBody(Buffered.error());
    return;
  }
  DispatchResult Result = this->dispatchWithinLimits("");
  this->sendResult(Result);
}

std::string RequestFlow::keyFingerprintText() const {
  return this->Request.Head.getMethod() + "\n" + this->Request.Host + "\n" +
         this->Request.Head.getURI() + "\n" + this->Client.Name.str();
}

void RequestFlow::serveKeyed(const RequestKey &Key) {
  const Duration Limit =
      this->Request.TimeLeft.value_or(config::DefaultDeadline);
  this->Deadline = this->Request.Arrived + Limit;
  if (this->Context.Keys.owns(Key.Prefix)) {
    this->serveOwned(Key);
    return;
  }
  if (this->Context.Keys.hasOwnAddress(Key.Prefix)) {
    this->refuse(502, Outcome::Unknown, Step::Key,
                 this->Context.NodeSettings.Id.str(),
                 "the process that gave out the key's prefix is gone");
    return;
  }
  this->forwardToOwner(Key);
}

void RequestFlow::serveOwned(const RequestKey &Key) {
  const Fingerprint RequestHash = fingerprintOf(this->keyFingerprintText());
  const KeyTable::Claim Claimed = this->Context.Keys.claim(Key, RequestHash);
  switch (Claimed) {
  case KeyTable::Claim::New:
    this->dispatchOwned(Key);
    return;
  case KeyTable::Claim::Joined:
  case KeyTable::Claim::Ended:
    this->awaitFirstRequest(Key);
    return;
  case KeyTable::Claim::Mismatch:
    this->refuse(422, Outcome::NotRun, Step::Key, "caller",
                 "the key was used for a different request");
    return;
  case KeyTable::Claim::Sealed:
    this->refuse(503, Outcome::NotRun, Step::Key,
                 this->Context.NodeSettings.Id.str(),
                 "the key's epoch takes no new keys");
    return;
  case KeyTable::Claim::Expired:
    this->refuse(409, Outcome::Unknown, Step::Key,
                 this->Context.NodeSettings.Id.str(),
                 "the key's epoch is over");
    return;
  }
}

void RequestFlow::awaitFirstRequest(const RequestKey &Key) {
  const auto Drained = this->Body.drain();
  if (!Drained) {
    // The first request with the key may have run, so the outcome is unknown.
    this->Writer.closeAfter();
    this->refuse(400, Outcome::Unknown, Step::ReadRequest, "caller",
                 readFaultText(Drained.error()));
    return;
  }
  const auto View = this->Context.Keys.awaitEnd(Key.Text, this->Deadline);
  const auto NodeName = this->Context.NodeSettings.Id.str();
  if (View && View->BodyHash && *View->BodyHash != this->Body.hash()) {
    this->Context.NodeMetrics.countResend("mismatch");
    this->refuse(422, Outcome::NotRun, Step::Key, "caller",
                 "the key was used for a request with another body");
    return;
  }
  if (View && View->CurrentState == KeyTable::State::Completed &&
      View->Response) {
    this->Context.NodeMetrics.countResend("answered");
    this->Writer.sendComplete(*View->Response);
    return;
  }
  if (View && View->CurrentState == KeyTable::State::NotRun) {
    this->Context.NodeMetrics.countResend("not-run");
    this->refuse(503, Outcome::NotRun, Step::Key, NodeName,
                 "the request with this key was refused and will not run");
    return;
  }
  this->Context.NodeMetrics.countResend("unknown");
  const bool HasCompleted =
      View && View->CurrentState == KeyTable::State::Completed;
  this->refuse(504, Outcome::Unknown, Step::Key, NodeName,
               HasCompleted
                   ? "the request ran, but its answer was too long to keep"
                   : "what became of the first request is not known");
}

void RequestFlow::dispatchOwned(const RequestKey &Key) {
  KeyOwner &Keys = this->Context.Keys;
  const KeyGuard Guard(Keys, Key.Text);
  // Any refusal below ends the key as NotRun, so that no late copy of the
  // request runs after its caller was notified.
  if (!this->route()) {
    Keys.endNotRun(Key.Text);
    return;
  }
  this->Kind = Repeatability::AtMostOnce;
  const auto Buffered = this->Body.fillReplayBuffer();
  if (!Buffered) {
    Keys.endNotRun(Key.Text);
    this->refuseBody(Buffered.error());
    return;
  }
  if (this->Body.complete())
    Keys.setBodyHash(Key.Text, this->Body.hash());
  DispatchResult Dispatched = this->dispatchWithinLimits(Key.Text);
  if (this->Body.complete())
    Keys.setBodyHash(Key.Text, this->Body.hash());
  auto *Response = std::get_if<DispatchedResponse>(&Dispatched);
  if (Response == nullptr) {
    // A key in flight ends as Unknown.
    Keys.endNotRun(Key.Text);
    this->sendResult(Dispatched);
    return;
  }
  // The response is stored before it is sent: a caller that does not receive it
  // can resend the request.
  if (Response->Exchange->complete())
    Keys.endCompleted(Key.Text, std::make_shared<const StoredResponse>(
                                    Response->Exchange->response()));
  this->sendResult(Dispatched);
  Keys.endCompleted(Key.Text, nullptr);
}

void RequestFlow::forwardToOwner(const RequestKey &Key) {
  const auto Buffered = this->Body.fillReplayBuffer();
  if (!Buffered) {
    this->Writer.closeAfter();
    this->refuse(400, Outcome::Unknown, Step::ReadRequest, "caller",
                 readFaultText(Buffered.error()));
    return;
  }
  OwnerForward Forward(this->Context, this->Request, this->Body, *this->Current,
                       this->Deadline, this->Client.Digest);
  auto Forwarded = Forward.run(formatAddress(Key.Prefix.Owner));
  if (!Forwarded) {
    this->Context.NodeMetrics.countForward("failed");
    this->refuse(Forwarded.error());
    return;
  }
  this->Context.NodeMetrics.countForward("answered");
  (*Forwarded)->restoreOutcomeHeader();
  if ((*Forwarded)->complete())
    this->Writer.sendComplete((*Forwarded)->response());
  else
    this->stream(**Forwarded);
}

DispatchResult RequestFlow::dispatchWithinLimits(const std::string &OwnedKey) {
  if (this->Client.Quota.PerSecond > 0)
    return this->dispatchWithinQuota(OwnedKey);
  const AccountRecord *Limited =
      this->Current->AccountRecords.find(this->Client.Name);
  if (Limited == nullptr)
    return this->dispatch(OwnedKey);
  const AccountRecord &Account = *Limited;
  const std::size_t Nodes =
      std::min(this->Current->Fleet.EntriesPerAccount,
               std::max<std::size_t>(this->Current->LiveNodes.size(), 1));
  const auto Decision =
      this->Context.AccountLimits.admit(Account, Nodes, bootNow());
  if (Decision.Result != AccountLimiter::Admission::Admitted) {
    const bool RateExceeded =
        Decision.Result == AccountLimiter::Admission::RateExceeded;
    return Refusal{429,
                   Outcome::NotRun,
                   {Step::Limit, Account.Name.str(),
                    RateExceeded ? "the account is over its rate"
                                 : "the account has too many requests at once"},
                   std::max<Duration>(Decision.RetryAfter, Millis(1))};
  }
  DispatchResult Result = this->dispatch(OwnedKey);
  this->Context.AccountLimits.release(Account.Name);
  return Result;
}

DispatchResult RequestFlow::dispatchWithinQuota(const std::string &OwnedKey) {
  const std::uint32_t Priority = this->Client.Priority;
  const auto Decision = this->Context.Quotas.admit(
      this->Client.Name, this->Client.Quota, this->Current->Fleet);
  this->Context.NodeMetrics.countQuota(
      Decision.Admitted ? "admitted" : "refused", Priority);
  if (!Decision.Admitted)
    return Refusal{
        429,
        Outcome::NotRun,
        {Step::Limit, this->Client.Name.str(), "the account is over its quota"},
        std::max<Duration>(Decision.RetryAfter, Millis(1))};
  DispatchResult Result = this->dispatch(OwnedKey);
  const auto *Refused = std::get_if<Refusal>(&Result);
  if (Refused != nullptr && Refused->RequestOutcome == Outcome::NotRun) {
    this->Context.Quotas.giveBack(this->Client.Name);
    this->Context.NodeMetrics.countQuota("returned", Priority);
  }
  return Result;
}

DispatchResult RequestFlow::dispatch(const std::string &OwnedKey) {
  DispatchParams Params;
  Params.Limits = this->Limits;
  Params.Request = &this->Request;
  Params.Body = &this->Body;
  Params.Client = this->Client;
  Params.Service = this->Service;
  Params.Kind = this->Kind;
  Params.Deadline = this->Deadline;
  if (this->Request.TimeLeft || this->Limits.Timeout > Millis::zero())
    Params.StreamDeadline = this->Deadline;
  Params.Caller = OwnedKey.empty() ? &this->Caller : nullptr;
  Params.OwnedKey = OwnedKey;
  return Dispatcher(this->Context, std::move(Params)).run();
}

void RequestFlow::sendResult(DispatchResult &Result) {
  if (auto *Response = std::get_if<DispatchedResponse>(&Result))
    this->sendResponse(*Response);
  else if (const auto *Refused = std::get_if<Refusal>(&Result))
    this->refuse(*Refused);
  else
    this->Writer.closeAfter();
}

void RequestFlow::sendResponse(DispatchedResponse &Response) {
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
  const auto Elapsed =
      std::chrono::duration_cast<Millis>(bootNow() - this->Request.Arrived);
  logEvent(LogLevel::Debug,
           "request " + this->Request.Id.str() + " got a response",
           {{"status", std::to_string(Response.Exchange->response().Status)},
            {"service", this->Service->Record.Name.str()},
            {"target", Target.Spec.Id.str()},
            {"target_domain", Target.Spec.Domain.str()},
            {"sent_to", std::to_string(Response.Attempts)},
            {"took_ms", std::to_string(Elapsed.count())}});
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
