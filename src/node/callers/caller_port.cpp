#include "node/callers/caller_port.h"
#include "net/boot_time.h"
#include "node/node_context.h"
#include "node/requests/request_flow.h"
#include "siskinstage/config.h"

#include <atomic>

namespace siskinstage {

namespace {

/// Increments a counter while it exists.
class ScopedCount {
public:
  explicit ScopedCount(std::atomic<std::uint32_t> &Count) : Count(Count) {
    ++this->Count;
  }
  ~ScopedCount() { --this->Count; }
  ScopedCount(const ScopedCount &) = delete;
  ScopedCount &operator=(const ScopedCount &) = delete;

private:
  std::atomic<std::uint32_t> &Count;
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
                                          bool LastThread) {
  const auto RawHead =
      readHead(Caller, HeadKind::Request, bootNow(), Duration::zero());
  if (RawHead)
    return this->serveHead(Caller, *RawHead, LastThread);
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
                                              bool LastThread) {
  const ScopedCount Running(this->Context.RequestsInFlight);
  const Instant Arrived = bootNow();
  auto Head = parseRequest(RawHead);
  if (!Head) {
    rejectHead(this->Context, Caller, {400, readFaultText(Head.error())});
    return Next::Close;
  }
  const auto Request =
      readCallerRequest(*Head, this->Context.newRequestId(), Arrived,
                        this->Context.NodeSettings.HeaderDialect);
  if (!Request) {
    rejectHead(this->Context, Caller, Request.error());
    return Next::Close;
  }
  const bool Open =
      RequestFlow(this->Context, Caller, *Request, LastThread).run();
  return Open ? Next::Idle : Next::Close;
}

} // namespace siskinstage
