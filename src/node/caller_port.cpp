#include "node/caller_port.h"
#include "net/boot_time.h"
#include "node/node_context.h"
#include "node/request_flow.h"
#include "siskinstage/config.h"

#include <atomic>

namespace siskinstage {

namespace {

/// Counts something for as long as it lives.
class Counted {
public:
  explicit Counted(std::atomic<std::uint32_t> &Count) : Count(Count) {
    ++this->Count;
  }
  ~Counted() { --this->Count; }
  Counted(const Counted &) = delete;
  Counted &operator=(const Counted &) = delete;

private:
  std::atomic<std::uint32_t> &Count;
};

void refuseHead(NodeContext &Context, TcpConnection &Caller,
                const HttpRefusal &Why,
                Duration WriteTime = config::CallerWriteTimeout) {
  const Refusal Refused = {Why.Status,
                           Outcome::NotRun,
                           {Step::ReadRequest, "caller", Why.Reason},
                           std::nullopt};
  Context.NodeMetrics.countRefusal(Step::ReadRequest, Outcome::NotRun);
  ResponseWriter(Caller, Context.newRequestId(),
                 Context.NodeSettings.HeaderDialect, WriteTime)
      .sendRefusal(Refused);
}

} // namespace

Duration CallerPort::idleTimeout(bool Draining) const {
  // A caller may just be sending on a connection that looks idle, so that a
  // draining node does not close it at once.
  return Draining ? config::DrainIdleLimit : config::CallerIdleTimeout;
}

Duration CallerPort::headTimeout() const { return config::HeaderReadTimeout; }

void CallerPort::closeOverdue(TcpConnection &Caller) {
  refuseHead(this->Context, Caller,
             {408, "the head did not come whole in time"}, Duration::zero());
}

ConnectionHandler::Next CallerPort::serve(TcpConnection &Caller,
                                          bool LastThread) {
  const auto Lines =
      readHead(Caller, HeadKind::Request, bootNow(), Duration::zero());
  if (Lines)
    return this->serveHead(Caller, *Lines, LastThread);
  if (const auto *Malformed = std::get_if<HttpRefusal>(&Lines.error())) {
    refuseHead(this->Context, Caller, *Malformed);
    return Next::Close;
  }
  // Without a byte it was no request yet.
  if (std::get<ConnectionFault>(Lines.error()).Cause ==
      ConnectionFault::Kind::Timeout)
    return Caller.buffered().empty() ? Next::Idle : Next::Incomplete;
  if (!Caller.buffered().empty())
    refuseHead(this->Context, Caller, {408, "the head did not come whole"});
  return Next::Close;
}

ConnectionHandler::Next CallerPort::serveHead(TcpConnection &Caller,
                                              const std::string &Lines,
                                              bool LastThread) {
  const Counted Running(this->Context.RequestsInFlight);
  const Instant Arrived = bootNow();
  auto Head = parseRequest(Lines);
  if (!Head) {
    refuseHead(this->Context, Caller, {400, readFaultText(Head.error())});
    return Next::Close;
  }
  const auto Request =
      readCallerRequest(*Head, this->Context.newRequestId(), Arrived,
                        this->Context.NodeSettings.HeaderDialect);
  if (!Request) {
    refuseHead(this->Context, Caller, Request.error());
    return Next::Close;
  }
  const bool Open =
      RequestFlow(this->Context, Caller, *Request, LastThread).run();
  return Open ? Next::Idle : Next::Close;
}

} // namespace siskinstage
