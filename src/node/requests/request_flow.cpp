#include "node/requests/request_flow.h"
#include "core/requests/pick_backend.h"
#include "core/requests/request_key.h"
#include "net/boot_time.h"
#include "node/fleet/entries_response.h"
#include "node/fleet/peer_api.h"
#include "node/header_names.h"
#include "node/node_context.h"
#include "node/requests/revocation_check.h"
#include "siskinstage/config.h"

#include <algorithm>

namespace siskinstage {

RequestFlow::RequestFlow(NodeContext &Context, TcpConnection &Caller,
                         const CallerRequest &Request,
                         RequestProgress &Progress, std::function<void()> Wake)
    : Context(Context), Caller(Caller), Request(Request), Progress(Progress),
      Wake(std::move(Wake)),
      Body(Caller, Request.Framing, Request.ExpectContinue,
           Request.Arrived + Request.TimeLeft.value_or(config::DefaultDeadline),
           Context.Drain),
      Writer(Caller, Request, Context.NodeSettings.HeaderDialect,
             Context.Drain),
      Current(Context.Snapshots.get()) {}

ConnectionHandler::Next RequestFlow::proceed(bool MayBlock) {
  this->MayBlock = MayBlock;
  this->Writer.allowWaiting(MayBlock);
  Pause Paused;
  if (this->Reached == Stage::Start)
    Paused = this->process();
  else if (this->Reached == Stage::Body)
    Paused = this->readBody();
  else
    Paused = this->continueDispatch();
  if (Paused)
    return *Paused;
  // The unread rest of a body would be parsed as the next request.
  if (!this->Body.complete())
    this->Writer.closeAfter();
  this->Context.NodeMetrics.observeLatency(bootNow() - this->Request.Arrived);
  return this->Writer.closes() ? ConnectionHandler::Next::Close
                               : ConnectionHandler::Next::Idle;
}

void RequestFlow::setTimer(Instant At) {
  // A timer that is due before lets the request check its limit again, so that
  // each part of a body needs no timer of its own.
  if (this->TimerAt <= At && bootNow() < this->TimerAt)
    return;
  this->TimerAt = At;
  this->Context.Timers->callAt(At, this->Wake);
}

RequestFlow::Pause RequestFlow::awaitThread(Instant Limit) {
  if (this->Caller.peerGone()) {
    this->Writer.closeAfter();
    return std::nullopt;
  }
  if (bootNow() >= this->Context.Drain.sendLimit(Limit)) {
    this->refuse(503, this->Request.Key ? Outcome::Unknown : Outcome::NotRun,
                 Step::Queue, this->Context.NodeSettings.Id.str(),
                 "no thread was free before the deadline");
    return std::nullopt;
  }
  this->Progress.reach(RequestProgress::Stage::Thread);
  this->setTimer(this->Context.Drain.sendLimit(Limit));
  return ConnectionHandler::Next::NeedsThread;
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
  auto Refused = checkRevocation(this->Context, this->Client);
  if (!Refused)
    return true;
  // The idempotency key may belong to an earlier request that ran.
  if (this->Request.Key)
    Refused->RequestOutcome = Outcome::Unknown;
  this->refuse(*Refused);
  return false;
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
  this->Limits = {Route->MaxAttempts, Route->Timeout, Route->Objective,
                  Route->Name};
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

RequestFlow::Pause RequestFlow::process() {
  const bool Keyed = this->Request.Key.has_value();
  const bool ForPeer = this->Request.Path.rfind(PeerPathPrefix, 0) == 0;
  const bool ForEntries = this->Request.Path == EntriesPath;
  // These keep their thread to their end. Responses to nodes may be longer than
  // what a socket takes at once.
  const bool Blocks =
      Keyed || ForPeer || (ForEntries && !this->Body.complete());
  if (Blocks && !this->MayBlock)
    return this->awaitThread(
        this->Request.Arrived +
        this->Request.TimeLeft.value_or(config::DefaultDeadline));
  if (ForPeer) {
    // The peer has given up by then.
    this->Writer.setWriteTime(config::PeerCallTimeout);
    this->serveInternal(handlePeerRequest(this->Context, this->Request));
    return std::nullopt;
  }
  if (!this->Current->Configured) {
    this->refuse(503, Keyed ? Outcome::Unknown : Outcome::NotRun, Step::Route,
                 this->Context.NodeSettings.Id.str(),
                 "the node is not ready yet");
    return std::nullopt;
  }
  if (ForEntries) {
    this->serveInternal(
        entriesResponse(this->Context, this->Request, *this->Current));
    return std::nullopt;
  }
  if (!this->checkAccount())
    return std::nullopt;
  if (!Keyed)
    return this->route() ? this->serveUnkeyed() : std::nullopt;
  const auto Key =
      parseRequestKey(*this->Request.Key, *this->Context.NodeSettings.Keys);
  if (Key)
    this->serveKeyed(*Key);
  else
    this->refuse(Key.error().Status, Outcome::NotRun, Step::Key, "caller",
                 Key.error().Reason);
  return std::nullopt;
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

RequestFlow::Pause RequestFlow::serveUnkeyed() {
  const auto Decided =
      decideRepeatability(this->Request.RepeatableValue, this->RouteRepeatable,
                          this->Request.Head.getMethod());
  if (!Decided) {
    this->refuse(400, Outcome::NotRun, Step::ReadRequest, "caller",
                 Decided.error().Reason);
    return std::nullopt;
  }
  this->Kind = *Decided;
  this->Reached = Stage::Body;
  return this->readBody();
}

RequestFlow::Pause RequestFlow::readBody() {
  const auto Filled = this->Body.fillAvailable();
  if (!Filled) {
    this->refuseBody(Filled.error());
    return std::nullopt;
  }
  if (!*Filled) {
    this->setTimer(this->Body.inputLimit());
    return ConnectionHandler::Next::NeedsInput;
  }
  if (const auto Refused = this->admitAccount()) {
    this->refuse(*Refused);
    return std::nullopt;
  }
  this->Reached = Stage::Dispatch;
  this->Progress.reach(RequestProgress::Stage::Slot);
  this->Running.emplace(this->Context, this->dispatchParams("", this->Wake));
  return this->continueDispatch();
}

RequestFlow::Pause RequestFlow::continueDispatch() {
  auto Result = this->Running->proceed(this->MayBlock);
  if (Result) {
    this->Admitted.reset();
    this->returnQuota(*Result);
    this->sendResult(*Result);
    return std::nullopt;
  }
  if (!this->Running->needsThread()) {
    this->Progress.reach(RequestProgress::Stage::Slot);
    return ConnectionHandler::Next::Suspended;
  }
  this->Progress.reach(RequestProgress::Stage::Thread);
  this->setTimer(this->Context.Drain.sendLimit(this->Deadline));
  return ConnectionHandler::Next::NeedsThread;
}

std::optional<Refusal> RequestFlow::admitByQuota() {
  const auto Decision = this->Context.Quotas.admit(
      this->Client.Name, this->Client.Quota, this->Current->Fleet);
  this->Context.NodeMetrics.countQuota(
      Decision.Admitted ? "admitted" : "refused", this->Client.Priority);
  this->QuotaTaken = Decision.Admitted;
  if (Decision.Admitted)
    return std::nullopt;
  return Refusal{
      429,
      Outcome::NotRun,
      {Step::Limit, this->Client.Name.str(), "the account is over its quota"},
      std::max<Duration>(Decision.RetryAfter, Millis(1))};
}

void RequestFlow::returnQuota(const DispatchResult &Result) {
  const auto *Refused = std::get_if<Refusal>(&Result);
  if (Refused == nullptr || Refused->RequestOutcome != Outcome::NotRun ||
      !std::exchange(this->QuotaTaken, false))
    return;
  this->Context.Quotas.giveBack(this->Client.Name);
  this->Context.NodeMetrics.countQuota("returned", this->Client.Priority);
}

std::optional<Refusal> RequestFlow::admitAccount() {
  if (this->Client.Quota.PerSecond > 0)
    return this->admitByQuota();
  const AccountRecord *Limited =
      this->Current->AccountRecords.find(this->Client.Name);
  if (Limited == nullptr)
    return std::nullopt;
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
  this->Admitted.emplace(this->Context.AccountLimits, Account.Name);
  return std::nullopt;
}

DispatchParams RequestFlow::dispatchParams(const std::string &OwnedKey,
                                           std::function<void()> Wake) {
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
  Params.Wake = std::move(Wake);
  Params.Progress = &this->Progress;
  return Params;
}

} // namespace siskinstage
