// How RequestFlow serves a request with an idempotency key. It keeps its thread
// while it waits: such requests are few.
#include "core/requests/request_key.h"
#include "node/node_context.h"
#include "node/requests/owner_forward.h"
#include "node/requests/request_flow.h"
#include "node/wakeup.h"
#include "siskinstage/config.h"

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
  this->Progress.reach(RequestProgress::Stage::AtKeyOwner);
  const auto View = this->Context.Keys.awaitEnd(Key.Text, [this] {
    return this->Context.Drain.waitLimit(this->Deadline);
  });
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
  DispatchResult Dispatched = this->dispatchBlocking(Key.Text);
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
  this->Progress.reach(RequestProgress::Stage::AtKeyOwner);
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

DispatchResult RequestFlow::dispatchBlocking(const std::string &OwnedKey) {
  if (auto Refused = this->admitAccount())
    return std::move(*Refused);
  this->Progress.reach(RequestProgress::Stage::Slot);
  const auto Woken = std::make_shared<Wakeup>();
  Dispatcher Dispatching(this->Context, this->dispatchParams(OwnedKey, [Woken] {
    Woken->notify();
  }));
  auto Result = Dispatching.proceed(true);
  while (!Result) {
    Woken->wait(config::IdleSweepPeriod);
    Result = Dispatching.proceed(true);
  }
  this->Admitted.reset();
  this->returnQuota(*Result);
  return std::move(*Result);
}

} // namespace siskinstage
