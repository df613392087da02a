#include "node/callers/caller_port.h"
#include "net/boot_time.h"
#include "node/callers/active_request.h"
#include "node/node_context.h"
#include "node/requests/request_flow.h"
#include "siskinstage/config.h"

#include <functional>
#include <memory>
#include <utility>

namespace siskinstage {

namespace {

/// A request with all that it needs while it waits.
class CallerActivity : public ActiveRequest {
public:
  CallerActivity(NodeContext &Context, TcpConnection &Caller,
                 CallerRequest Request, const std::function<void()> &Wake)
      : Request(std::move(Request)),
        Progress(Context.Requests, this->Request.Id, this->Request.Arrived),
        Flow(Context, Caller, this->Request, this->Progress, Wake) {}
  ConnectionHandler::Next resume(bool MayBlock) override {
    return this->Flow.proceed(MayBlock);
  }

private:
  CallerRequest Request;
  RequestProgress Progress;
  RequestFlow Flow;
};

void rejectHead(NodeContext &Context, TcpConnection &Caller,
                const HttpRefusal &Fault,
                Duration WriteTime = config::CallerWriteTimeout) {
  const Refusal Refused = {Fault.Status,
                           Outcome::NotRun,
                           {Step::ReadRequest, "caller", Fault.Reason},
                           std::nullopt};
  Context.NodeMetrics.countRefusal(Step::ReadRequest, Outcome::NotRun);
  ResponseWriter(Caller, Context.newRequestId(),
                 Context.NodeSettings.HeaderDialect, WriteTime)
      .sendRefusal(Refused);
}

} // namespace

Duration CallerPort::idleTimeout(bool Draining) const {
  // A draining node does not close idle connections at once: a request of the
  // caller may be on its way.
  return Draining ? config::DrainIdleLimit : config::CallerIdleTimeout;
}

Duration CallerPort::headTimeout() const { return config::HeaderReadTimeout; }

void CallerPort::closeOverdue(TcpConnection &Caller) {
  rejectHead(this->Context, Caller,
             {408, "the head did not come whole in time"}, Duration::zero());
}

ConnectionHandler::Next CallerPort::serve(TcpConnection &Caller,
                                          ServeTurn &Turn) {
  const auto RawHead =
      readHead(Caller, HeadKind::Request, bootNow(), Duration::zero());
  if (RawHead)
    return this->serveHead(Caller, *RawHead, Turn);
  if (const auto *Malformed = std::get_if<HttpRefusal>(&RawHead.error())) {
    rejectHead(this->Context, Caller, *Malformed);
    return Next::Close;
  }
  // A connection without any input has no request yet.
  if (std::get<ConnectionFault>(RawHead.error()).Cause ==
      ConnectionFault::Kind::Timeout)
    return Caller.buffered().empty() ? Next::Idle : Next::Incomplete;
  if (!Caller.buffered().empty())
    rejectHead(this->Context, Caller, {408, "the head did not come whole"});
  return Next::Close;
}

ConnectionHandler::Next CallerPort::serveHead(TcpConnection &Caller,
                                              const std::string &RawHead,
                                              ServeTurn &Turn) {
  const Instant Arrived = bootNow();
  auto Request =
      readCallerRequest(parseRequest(RawHead), this->Context.newRequestId(),
                        Arrived, this->Context.NodeSettings.HeaderDialect);
  if (!Request) {
    rejectHead(this->Context, Caller, Request.error());
    return Next::Close;
  }
  const auto Started = std::make_shared<CallerActivity>(
      this->Context, Caller, std::move(*Request), Turn.Resume);
  const Next State = Started->resume(Turn.MayBlock);
  if (State != Next::Idle && State != Next::Close)
    Turn.Started = Started;
  return State;
}

} // namespace siskinstage
