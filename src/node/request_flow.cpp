#include "node/request_flow.h"
#include "core/pick_backend.h"
#include "core/request_key.h"
#include "net/boot_time.h"
#include "node/entries_answer.h"
#include "node/header_names.h"
#include "node/node_context.h"
#include "node/owner_forward.h"
#include "node/peer_api.h"
#include "node/target_gauge.h"
#include "siskinstage/config.h"

#include <algorithm>
#include <xxhash.h>

namespace siskinstage {

namespace {

/// Ends a key whose flight was left by an exception, so that no resend waits
/// for it; a key that has ended stays as it is.
class KeyEnd {
public:
  KeyEnd(KeyOwner &Keys, const std::string &Key) : Keys(Keys), Key(Key) {}
  ~KeyEnd() { this->Keys.endNotRun(this->Key); }
  KeyEnd(const KeyEnd &) = delete;
  KeyEnd &operator=(const KeyEnd &) = delete;

private:
  KeyOwner &Keys;
  const std::string &Key;
};

Fingerprint fingerprintOf(const std::string &Text) {
  return {XXH3_64bits(Text.data(), Text.size())};
}

} // namespace

RequestFlow::RequestFlow(NodeContext &Context, Wire &Caller,
                         const CallerRequest &Request, bool LastThread)
    : Context(Context), Caller(Caller), Request(Request),
      LastThread(LastThread),
      Body(Caller, Request.Framing, Request.ExpectContinue,
           Request.Arrived +
               Request.TimeLeft.value_or(config::DefaultDeadline)),
      Reply(Caller, Request, Context.NodeSettings.HeaderDialect),
      Now(Context.Snapshots.get()) {
  if (Context.Draining.load())
    this->Reply.closeAfter();
}

bool RequestFlow::run() {
  this->answer();
  // A body that was left unread would be taken for the next request.
  if (!this->Body.whole())
    this->Reply.closeAfter();
  this->Context.NodeMetrics.observeLatency(bootNow() - this->Request.Arrived);
  return !this->Reply.closes();
}

void RequestFlow::refuse(const Refusal &Refused) {
  if (!this->Body.whole())
    this->Reply.closeAfter();
  this->Context.NodeMetrics.countRefusal(Refused.Cause.FailedStep,
                                         Refused.What);
  logEvent(Refused.What == Outcome::Unknown ? LogLevel::Warn : LogLevel::Info,
           "request " + this->Request.Id.str() + " is refused",
           {{"outcome", outcomeName(Refused.What)},
            {"step", stepName(Refused.Cause.FailedStep)},
            {"peer", Refused.Cause.Peer},
            {"reason", Refused.Cause.Reason}});
  this->Reply.refuse(Refused);
}

void RequestFlow::refuse(int Status, Outcome What, Step Where, std::string Peer,
                         std::string Reason) {
  std::optional<Duration> RetryAfter;
  if (Status == 503 && What == Outcome::NotRun)
    RetryAfter = spreadRetryAfter();
  this->refuse(Refusal{
      Status, What, {Where, std::move(Peer), std::move(Reason)}, RetryAfter});
}

void RequestFlow::refuseBody(const ReadFault &Fault) {
  this->Reply.closeAfter();
  if (const auto *Malformed = std::get_if<HttpRefusal>(&Fault))
    this->refuse(Malformed->Status, Outcome::NotRun, Step::ReadRequest,
                 "caller", Malformed->Reason);
  else
    this->refuse(408, Outcome::NotRun, Step::ReadRequest, "caller",
                 readFaultText(Fault));
}

const ServiceName &RequestFlow::backendOf(const RouteRecord &Route) const {
  if (Route.Backends.empty())
    return Route.Service;
  thread_local Random Dice(
      static_cast<std::uint64_t>(bootNow().time_since_epoch().count()));
  return Route.Backends[pickBackend(Route.Backends, Dice)].Service;
}

bool RequestFlow::route() {
  const RouteRecord *Route = this->Now->Routes.find(
      this->Request.Host, this->Request.Path, this->Request.Head.getMethod());
  if (Route == nullptr) {
    this->refuse(404, Outcome::NotRun, Step::Route, this->Request.Path,
                 "no route matches host, path and method");
    return false;
  }
  const ServiceName &Chosen = this->backendOf(*Route);
  this->Service = this->Now->service(Chosen);
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
  this->Body.endBy(this->Deadline);
  return true;
}

void RequestFlow::answer() {
  if (this->Request.Path.rfind(PeerPathPrefix, 0) == 0) {
    this->serveInternal(handlePeerRequest(this->Context, this->Request));
    return;
  }
  const bool Keyed = this->Request.Key.has_value();
  if (this->LastThread) {
    this->Reply.hurry();
    this->refuse(503, Keyed ? Outcome::Unknown : Outcome::NotRun, Step::Queue,
                 this->Context.NodeSettings.Id.str(), "all threads are taken");
    return;
  }
  if (!this->Now->Configured) {
    this->refuse(503, Keyed ? Outcome::Unknown : Outcome::NotRun, Step::Route,
                 this->Context.NodeSettings.Id.str(),
                 "the node is not ready yet");
    return;
  }
  if (this->Request.Path == EntriesPath) {
    this->serveInternal(
        entriesAnswer(this->Context, this->Request, *this->Now));
    return;
  }
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

void RequestFlow::serveInternal(const HttpResult<StoredResponse> &Answer) {
  const auto Drained = this->Body.drain();
  if (!Drained) {
    this->refuseBody(Drained.error());
    return;
  }
  if (!Answer) {
    this->refuse(Answer.error().Status, Outcome::NotRun, Step::ReadRequest,
                 "caller", Answer.error().Reason);
    return;
  }
  this->Reply.whole(*Answer);
}

void RequestFlow::serveUnkeyed() {
  const auto Decided =
      decideRepeatability(this->Request.RepeatableMark, this->RouteRepeatable,
                          this->Request.Head.getMethod());
  if (!Decided) {
    this->refuse(400, Outcome::NotRun, Step::ReadRequest, "caller",
                 Decided.error().Reason);
    return;
  }
  this->Kind = *Decided;
  const auto Held = this->Body.hold();
  if (!Held) {
    this->refuseBody(Held.error());
    return;
  }
  DispatchEnd End = this->dispatchLimited("");
  this->give(End);
}

std::string RequestFlow::keyFingerprintText() const {
  return this->Request.Head.getMethod() + "\n" + this->Request.Host + "\n" +
         this->Request.Head.getURI() + "\n" + this->Request.Account.str();
}

void RequestFlow::serveKeyed(const RequestKey &Key) {
  const Duration Limit =
      this->Request.TimeLeft.value_or(config::DefaultDeadline);
  this->Deadline = this->Request.Arrived + Limit;
  if (this->Context.Keys.owns(Key.Prefix)) {
    this->serveOwned(Key);
    return;
  }
  if (this->Context.Keys.atThisAddress(Key.Prefix)) {
    this->refuse(502, Outcome::Unknown, Step::Key,
                 this->Context.NodeSettings.Id.str(),
                 "the process that gave out the key's prefix is gone");
    return;
  }
  this->forwardToOwner(Key);
}

void RequestFlow::serveOwned(const RequestKey &Key) {
  const Fingerprint Asked = fingerprintOf(this->keyFingerprintText());
  const KeyTable::Claim Claimed = this->Context.Keys.claim(Key, Asked);
  switch (Claimed) {
  case KeyTable::Claim::New:
    this->dispatchOwned(Key);
    return;
  case KeyTable::Claim::Joined:
  case KeyTable::Claim::Ended:
    this->joinFlight(Key);
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

void RequestFlow::joinFlight(const RequestKey &Key) {
  const auto Drained = this->Body.drain();
  if (!Drained) {
    // The key is in use: nothing can be said of the first request from here.
    this->Reply.closeAfter();
    this->refuse(400, Outcome::Unknown, Step::ReadRequest, "caller",
                 readFaultText(Drained.error()));
    return;
  }
  const auto View = this->Context.Keys.awaitEnd(Key.Text, this->Deadline);
  const auto Named = this->Context.NodeSettings.Id.str();
  if (View && View->BodyHash && *View->BodyHash != this->Body.hash()) {
    this->Context.NodeMetrics.countResend("mismatch");
    this->refuse(422, Outcome::NotRun, Step::Key, "caller",
                 "the key was used for a request with another body");
    return;
  }
  if (View && View->Now == KeyTable::State::Completed && View->Response) {
    this->Context.NodeMetrics.countResend("answered");
    this->Reply.whole(*View->Response);
    return;
  }
  if (View && View->Now == KeyTable::State::NotRun) {
    this->Context.NodeMetrics.countResend("not-run");
    this->refuse(503, Outcome::NotRun, Step::Key, Named,
                 "the request with this key was refused and will not run");
    return;
  }
  this->Context.NodeMetrics.countResend("unknown");
  const bool Kept = View && View->Now == KeyTable::State::Completed;
  this->refuse(504, Outcome::Unknown, Step::Key, Named,
               Kept ? "the request ran, but its answer was too long to keep"
                    : "what became of the first request is not known");
}

void RequestFlow::dispatchOwned(const RequestKey &Key) {
  KeyOwner &Keys = this->Context.Keys;
  const KeyEnd End(Keys, Key.Text);
  // Whatever refuses the request from here on ends its key as not run, so that
  // no late copy runs after its caller was told.
  if (!this->route()) {
    Keys.endNotRun(Key.Text);
    return;
  }
  this->Kind = Repeatability::AtMostOnce;
  const auto Held = this->Body.hold();
  if (!Held) {
    Keys.endNotRun(Key.Text);
    this->refuseBody(Held.error());
    return;
  }
  if (this->Body.whole())
    Keys.setBodyHash(Key.Text, this->Body.hash());
  DispatchEnd Dispatched = this->dispatchLimited(Key.Text);
  if (this->Body.whole())
    Keys.setBodyHash(Key.Text, this->Body.hash());
  auto *Answer = std::get_if<DispatchedAnswer>(&Dispatched);
  if (Answer == nullptr) {
    // A key in flight ends as uncertain.
    Keys.endNotRun(Key.Text);
    this->give(Dispatched);
    return;
  }
  // The answer is kept before the caller gets it: a caller that misses it can
  // ask again.
  if (Answer->Exchange->whole())
    Keys.endCompleted(Key.Text, std::make_shared<const StoredResponse>(
                                    Answer->Exchange->answer()));
  this->give(Dispatched);
  Keys.endCompleted(Key.Text, nullptr);
}

void RequestFlow::forwardToOwner(const RequestKey &Key) {
  const auto Held = this->Body.hold();
  if (!Held) {
    this->Reply.closeAfter();
    this->refuse(400, Outcome::Unknown, Step::ReadRequest, "caller",
                 readFaultText(Held.error()));
    return;
  }
  OwnerForward Forward(this->Context, this->Request, this->Body, *this->Now,
                       this->Deadline);
  auto Answer = Forward.run(formatAddress(Key.Prefix.Owner));
  if (!Answer) {
    this->Context.NodeMetrics.countForward("failed");
    this->refuse(Answer.error());
    return;
  }
  this->Context.NodeMetrics.countForward("answered");
  (*Answer)->restoreOwnHeaders();
  if ((*Answer)->whole())
    this->Reply.whole((*Answer)->answer());
  else
    this->stream(**Answer);
}

DispatchEnd RequestFlow::dispatchLimited(const std::string &OwnedKey) {
  const AccountRecord *Known =
      this->Now->AccountRecords.find(this->Request.Account);
  if (Known == nullptr)
    return this->dispatch(OwnedKey);
  const AccountRecord &Account = *Known;
  const std::size_t Nodes =
      std::min(this->Now->Fleet.EntriesPerAccount,
               std::max<std::size_t>(this->Now->LiveNodes.size(), 1));
  const auto Decision =
      this->Context.AccountLimits.admit(Account, Nodes, bootNow());
  if (Decision.Result != AccountLimiter::Admission::Admitted) {
    const bool Rate =
        Decision.Result == AccountLimiter::Admission::RateExceeded;
    return Refusal{429,
                   Outcome::NotRun,
                   {Step::Limit, Account.Name.str(),
                    Rate ? "the account is over its rate"
                         : "the account has too many requests at once"},
                   std::max<Duration>(Decision.RetryAfter, Millis(1))};
  }
  DispatchEnd End = this->dispatch(OwnedKey);
  this->Context.AccountLimits.release(Account.Name);
  return End;
}

DispatchEnd RequestFlow::dispatch(const std::string &OwnedKey) {
  DispatchOrder Order;
  Order.Limits = this->Limits;
  Order.Request = &this->Request;
  Order.Body = &this->Body;
  Order.Service = this->Service;
  Order.Kind = this->Kind;
  Order.Deadline = this->Deadline;
  if (this->Request.TimeLeft || this->Limits.Timeout > Millis::zero())
    Order.StreamEnd = this->Deadline;
  Order.Caller = OwnedKey.empty() ? &this->Caller : nullptr;
  Order.OwnedKey = OwnedKey;
  return Dispatcher(this->Context, std::move(Order)).run();
}

void RequestFlow::give(DispatchEnd &End) {
  if (auto *Answer = std::get_if<DispatchedAnswer>(&End))
    this->giveAnswer(*Answer);
  else if (const auto *Refused = std::get_if<Refusal>(&End))
    this->refuse(*Refused);
  else
    this->Reply.closeAfter();
}

void RequestFlow::giveAnswer(DispatchedAnswer &Answer) {
  TargetExchange &Exchange = *Answer.Exchange;
  this->logAnswer(Answer);
  this->Context.NodeMetrics.countResponse(Exchange.answer().Status);
  if (Exchange.bodyLeft())
    this->Reply.closeAfter();
  if (Exchange.whole()) {
    const TargetView Target = Answer.Lease.target();
    if (Target.Gauge)
      Exchange.finish(Target.Gauge->Pool);
    Answer.Lease.release();
    this->Reply.whole(Exchange.answer());
    return;
  }
  const TargetView Target = Answer.Lease.target();
  if (this->stream(Exchange)) {
    Exchange.finish(Target.Gauge->Pool);
    return;
  }
  this->Context.NodeMetrics.countAttemptFailure(
      AttemptFailure::Kind::IncompleteResponse);
}

void RequestFlow::logAnswer(DispatchedAnswer &Answer) const {
  const TargetView &Target = Answer.Lease.target();
  const auto Took =
      std::chrono::duration_cast<Millis>(bootNow() - this->Request.Arrived);
  logEvent(LogLevel::Debug,
           "request " + this->Request.Id.str() + " is answered",
           {{"status", std::to_string(Answer.Exchange->answer().Status)},
            {"service", this->Service->Record.Name.str()},
            {"target", Target.Spec.Id.str()},
            {"target_domain", Target.Spec.Domain.str()},
            {"sent_to", std::to_string(Answer.Sends)},
            {"took_ms", std::to_string(Took.count())}});
}

bool RequestFlow::stream(TargetExchange &Exchange) {
  this->Reply.begin(Exchange.answer(), Exchange.length());
  bool Reading = this->Reply.part(Exchange.answer().Body);
  while (Reading && !Exchange.whole()) {
    const auto Part = Exchange.nextPart();
    if (!Part) {
      logEvent(LogLevel::Warn,
               "the answer to request " + this->Request.Id.str() +
                   " broke off: " + Part.error().Attempt.Reason);
      this->Reply.breakOff();
      return false;
    }
    Reading = this->Reply.part(*Part);
  }
  if (Reading)
    this->Reply.finish();
  return Reading;
}

} // namespace siskinstage
