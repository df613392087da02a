#include "node/caller_connection.h"
#include "net/boot_time.h"
#include "node/node_context.h"
#include "node/request_flow.h"
#include "siskinstage/config.h"

#include <algorithm>
#include <exception>

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

void refuseHead(NodeContext &Context, Wire &Caller, const HttpRefusal &Why) {
  const Refusal Refused = {Why.Status,
                           Outcome::NotRun,
                           {Step::ReadRequest, "caller", Why.Reason},
                           std::nullopt};
  Context.Measured.refused(Step::ReadRequest, Outcome::NotRun);
  CallerReply(Caller, Context.newRequestId(), Context.Set.Speak)
      .refuse(Refused);
}

} // namespace

CallerConnection::CallerConnection(const Poco::Net::StreamSocket &Socket,
                                   NodeContext &Context)
    : Poco::Net::TCPServerConnection(Socket), Context(Context) {}

void CallerConnection::run() {
  const Counted Open(this->Context.CallerConnections);
  Wire Caller(this->socket());
  try {
    while (this->serveNext(Caller))
      Caller.shrink();
    Caller.finish(bootNow() + config::LingerTime);
  } catch (const std::exception &Fault) {
    logEvent(LogLevel::Error, "a caller's connection ended on an exception",
             {{"reason", Fault.what()}});
    Caller.abort();
  }
}

bool CallerConnection::serveNext(Wire &Caller) {
  const auto Lines = this->awaitHead(Caller);
  if (Lines)
    return this->serveHead(Caller, *Lines);
  if (const auto *Malformed = std::get_if<HttpRefusal>(&Lines.error()))
    refuseHead(this->Context, Caller, *Malformed);
  else if (!Caller.buffered().empty())
    refuseHead(this->Context, Caller,
               {408, "the head did not come whole in time"});
  return false;
}

ReadResult<std::string> CallerConnection::awaitHead(Wire &Caller) {
  Instant Limit = bootNow() + config::CallerIdleTimeout;
  bool Draining = false;
  while (true) {
    // A caller may just be sending on a connection that looks idle, so that a
    // draining node does not close it at once.
    if (!Draining && this->Context.Draining.load()) {
      Draining = true;
      Limit = std::min(Limit, bootNow() + config::DrainIdleLimit);
    }
    const Instant Look = std::min(Limit, bootNow() + config::ShutdownNotice);
    auto Lines =
        readHead(Caller, HeadKind::Request, Look, config::HeaderReadTimeout);
    if (Lines || !Caller.buffered().empty())
      return Lines;
    const auto *Fault = std::get_if<WireFault>(&Lines.error());
    const bool Waiting =
        Fault != nullptr && Fault->What == WireFault::Kind::Timeout;
    if (!Waiting || bootNow() >= Limit)
      return Lines;
  }
}

bool CallerConnection::serveHead(Wire &Caller, const std::string &Lines) {
  const Counted Running(this->Context.RequestsInFlight);
  const Instant Arrived = bootNow();
  auto Head = parseRequest(Lines);
  if (!Head) {
    refuseHead(this->Context, Caller, {400, readFaultText(Head.error())});
    return false;
  }
  const auto Request = readCallerRequest(*Head, this->Context.newRequestId(),
                                         Arrived, this->Context.Set.Speak);
  if (!Request) {
    refuseHead(this->Context, Caller, Request.error());
    return false;
  }
  return RequestFlow(this->Context, Caller, *Request).run();
}

} // namespace siskinstage
