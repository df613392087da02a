#include "node/callers/connection_server.h"
#include "net/boot_time.h"
#include "net/timer_queue.h"
#include "node/callers/active_request.h"
#include "node/operators/log.h"
#include "siskinstage/config.h"

#include <Poco/Exception.h>
#include <algorithm>
#include <cerrno>
#include <exception>
#include <map>
#include <sys/epoll.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace siskinstage {

namespace {

/// A thread without work ends if this many already wait. Two are kept: one
/// serves while the other waits.
constexpr int MaxWaitingThreads = 2;
/// How long the pool keeps a thread for reuse, so that a burst of requests does
/// not start threads again and again.
constexpr int ThreadIdleSeconds = 5;

/// Logs \p Message if \p Count has grown since it was logged.
void logGrowth(const char *Message, std::uint64_t Count,
               std::uint64_t &Logged) {
  if (Count != Logged)
    logEvent(LogLevel::Warn, Message,
             {{"times", std::to_string(Count - Logged)}});
  Logged = Count;
}

} // namespace

ConnectionServer::ConnectionServer(const Limits &Max, int PollSet,
                                   ConnectionCounts &Counts, TimerQueue *Timers,
                                   std::shared_ptr<ResumeQueue> Resumed)
    : Max(Max), PollSet(PollSet), Counts(Counts), Timers(Timers),
      Resumed(std::move(Resumed)),
      Pool("connections", 1, Max.Threads, ThreadIdleSeconds,
           config::CallerThreadStackBytes),
      Worker(*this, &ConnectionServer::runThread) {}

Result<std::unique_ptr<ConnectionServer>>
ConnectionServer::start(const Limits &Max, ConnectionCounts &Counts,
                        TimerQueue *Timers) {
  auto Resumed = ResumeQueue::create();
  if (!Resumed)
    return tl::unexpected<Error>(Resumed.error());
  const int PollSet = ::epoll_create1(EPOLL_CLOEXEC);
  if (PollSet < 0)
    return fail(Step::Listen, "poll set", "can't create an epoll descriptor");
  std::unique_ptr<ConnectionServer> Server(
      new ConnectionServer(Max, PollSet, Counts, Timers, std::move(*Resumed)));
  Server->watch(Server->Resumed->descriptor(), ResumeId, EPOLL_CTL_ADD);
  if (Timers != nullptr)
    Server->watch(Timers->descriptor(), TimerId, EPOLL_CTL_ADD);
  const std::lock_guard<std::mutex> Guard(Server->Lock);
  Server->NextSweep = bootNow() + config::IdleSweepPeriod;
  Server->ensureWaiter();
  return Server;
}

ConnectionServer::~ConnectionServer() {
  {
    const std::lock_guard<std::mutex> Guard(this->Lock);
    this->Stopped = true;
  }
  this->Pool.joinAll();
  ::close(this->PollSet);
}

void ConnectionServer::watch(int Descriptor, Id Source, int Operation,
                             bool Input) const {
  epoll_event Event{};
  // With EPOLLONESHOT an event wakes one thread only, which owns the
  // descriptor until it enables the next event.
  Event.events = EPOLLRDHUP | EPOLLONESHOT;
  if (Input)
    Event.events |= EPOLLIN;
  Event.data.u64 = Source;
  if (::epoll_ctl(this->PollSet, Operation, Descriptor, &Event) != 0)
    logEvent(LogLevel::Error, "can't watch a connection: epoll_ctl failed",
             {{"errno", std::to_string(errno)}});
}

bool ConnectionServer::ensureWaiter() {
  if (this->WaitingThreads > 0)
    return true;
  // The destructor waits for the threads of the pool.
  if (this->Stopped)
    return false;
  if (this->RunningThreads >= this->Max.Threads)
    return false;
  try {
    this->Pool.start(this->Worker);
  } catch (const Poco::Exception &Fault) {
    // The running threads take the next event when they are done.
    logEvent(LogLevel::Error, "can't start another connection thread",
             {{"threads", std::to_string(this->RunningThreads)},
              {"reason", Fault.displayText()}});
    return false;
  }
  ++this->RunningThreads;
  ++this->WaitingThreads;
  return true;
}

bool ConnectionServer::resumeWaiting() {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  if (this->Stopped || this->WaitingThreads >= MaxWaitingThreads) {
    --this->RunningThreads;
    return false;
  }
  ++this->WaitingThreads;
  return true;
}

void ConnectionServer::runThread() {
  const auto TimeoutMillis = static_cast<int>(config::IdleSweepPeriod.count());
  while (true) {
    epoll_event Event{};
    const int EventCount =
        ::epoll_wait(this->PollSet, &Event, 1, TimeoutMillis);
    bool MayBlock = true;
    {
      const std::lock_guard<std::mutex> Guard(this->Lock);
      --this->WaitingThreads;
      MayBlock = EventCount <= 0 || this->ensureWaiter();
    }
    if (EventCount > 0)
      this->serveEvent(Event.data.u64, MayBlock);
    this->serveResumed();
    this->serveNeedThread();
    this->sweep();
    if (!this->resumeWaiting())
      return;
  }
}

void ConnectionServer::serveEvent(Id Source, bool MayBlock) {
  if (Source == TimerId) {
    this->Timers->runDue(bootNow());
    this->watch(this->Timers->descriptor(), TimerId, EPOLL_CTL_MOD);
    return;
  }
  if (Source == ResumeId) {
    const auto Woken = this->Resumed->pop();
    this->watch(this->Resumed->descriptor(), ResumeId, EPOLL_CTL_MOD);
    if (Woken)
      this->serveConnection(*Woken, Cause::Wakeup, MayBlock);
    return;
  }
  bool IsPort = false;
  {
    const std::lock_guard<std::mutex> Guard(this->Lock);
    IsPort = this->Ports.count(Source) > 0;
  }
  if (IsPort)
    this->accept(Source);
  else
    this->serveConnection(Source, Cause::Event, MayBlock);
}

void ConnectionServer::serveResumed() {
  while (const auto Woken = this->Resumed->pop()) {
    bool MayBlock = false;
    {
      const std::lock_guard<std::mutex> Guard(this->Lock);
      MayBlock = this->ensureWaiter();
    }
    this->serveConnection(*Woken, Cause::Wakeup, MayBlock);
  }
}

void ConnectionServer::serveNeedThread() {
  while (true) {
    Id First = 0;
    {
      const std::lock_guard<std::mutex> Guard(this->Lock);
      if (this->NeedThread.empty() || !this->ensureWaiter())
        return;
      First = this->NeedThread.front();
      this->NeedThread.pop_front();
    }
    this->serveConnection(First, Cause::Thread, true);
  }
}

std::optional<ConnectionServer::State>
ConnectionServer::serveInput(Connection &Served, ServeTurn &Turn) {
  using Next = ConnectionHandler::Next;
  TcpConnection &Peer = *Served.Peer;
  if (Served.Current != State::Lingering) {
    if (Served.Current == State::Idle)
      Served.Since = bootNow();
    Next Status = Served.Request ? Served.Request->resume(Turn.MayBlock)
                                 : Served.Handler->serve(Peer, Turn);
    while (Status == Next::Idle && !Peer.buffered().empty()) {
      Served.Request.reset();
      Served.Since = bootNow();
      Status = Served.Handler->serve(Peer, Turn);
    }
    if (Turn.Started)
      Served.Request = std::exchange(Turn.Started, nullptr);
    if (Status == Next::Suspended)
      return State::Suspended;
    if (Status == Next::NeedsInput)
      return State::NeedsInput;
    if (Status == Next::NeedsThread)
      return State::NeedsThread;
    Served.Request.reset();
    if (Status == Next::Incomplete)
      return State::Incomplete;
    Served.Since = bootNow();
    if (Status == Next::Idle)
      return State::Idle;
    if (!Peer.endSending())
      return std::nullopt;
  }
  // Closing with unread bytes would reset the connection, and the response
  // could be lost.
  if (!Peer.discardInput(Served.Since + config::LingerTimeout))
    return std::nullopt;
  return State::Lingering;
}

std::optional<ConnectionServer::Connection>
ConnectionServer::take(Id ConnectionId, Cause Why) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  const auto Found = this->Connections.find(ConnectionId);
  if (Found == this->Connections.end())
    return std::nullopt;
  Connection &Entry = Found->second;
  const bool Waits = Entry.Current == State::Suspended ||
                     Entry.Current == State::NeedsInput ||
                     Entry.Current == State::NeedsThread;
  // A thread that serves the connection watches it again when it is done. A
  // wakeup may come after the request has ended.
  if (Entry.Current == State::Busy) {
    Entry.Woken = Entry.Woken || Why == Cause::Wakeup;
    return std::nullopt;
  }
  if ((Why == Cause::Wakeup && !Waits) ||
      (Why == Cause::Thread && Entry.Current != State::NeedsThread))
    return std::nullopt;
  Connection Served = Entry;
  Entry.Request.reset();
  Entry.Current = State::Busy;
  return Served;
}

void ConnectionServer::putBack(Id ConnectionId, Connection Served,
                               State NextState) {
  Served.Peer->shrink();
  Served.Current = NextState;
  const int Descriptor = Served.Peer->descriptor();
  const std::lock_guard<std::mutex> Guard(this->Lock);
  Connection &Entry = this->Connections[ConnectionId];
  const bool Woken = std::exchange(Entry.Woken, false);
  Entry = std::move(Served);
  if (Woken && Entry.Request)
    this->Resumed->push(ConnectionId);
  if (NextState == State::NeedsThread) {
    this->NeedThread.push_back(ConnectionId);
    ++this->Counts.ThreadsExhausted;
  }
  const bool Input =
      NextState != State::Suspended && NextState != State::NeedsThread;
  this->watch(Descriptor, ConnectionId, EPOLL_CTL_MOD, Input);
}

void ConnectionServer::serveConnection(Id ConnectionId, Cause Why,
                                       bool MayBlock) {
  auto Served = this->take(ConnectionId, Why);
  if (!Served)
    return;
  ServeTurn Turn;
  Turn.MayBlock = MayBlock;
  Turn.Resume = [Queue = this->Resumed, ConnectionId] {
    Queue->push(ConnectionId);
  };
  std::optional<State> NextState;
  try {
    NextState = serveInput(*Served, Turn);
  } catch (const std::exception &Fault) {
    logEvent(LogLevel::Error, "closing a connection after an exception",
             {{"peer", Served->Peer->peer()}, {"reason", Fault.what()}});
    Served->Peer->abort();
  }
  if (NextState) {
    this->putBack(ConnectionId, std::move(*Served), *NextState);
    return;
  }
  Served->Request.reset();
  const std::lock_guard<std::mutex> Guard(this->Lock);
  this->Connections.erase(ConnectionId);
  this->updateOpenCount();
  // Releasing the last reference closes the descriptor, which a paused port may
  // need.
  Served->Peer.reset();
  this->resumePorts();
}

void ConnectionServer::logCounts() {
  logGrowth("all threads are busy; requests wait for a thread",
            this->Counts.ThreadsExhausted.load(), this->ThreadsExhaustedLogged);
  logGrowth("connection limit reached; closing new connections",
            this->Counts.Rejected.load(), this->RejectedLogged);
  logGrowth("no descriptors or memory left for new connections",
            this->Counts.AcceptFailures.load(), this->AcceptFailuresLogged);
}

void ConnectionServer::sweep() {
  {
    const std::lock_guard<std::mutex> Guard(this->Lock);
    if (bootNow() < this->NextSweep)
      return;
  }
  this->closeExpired();
}

void ConnectionServer::closeExpired() {
  const Instant Now = bootNow();
  std::vector<Connection> Overdue;
  {
    const std::lock_guard<std::mutex> Guard(this->Lock);
    this->NextSweep = Now + config::IdleSweepPeriod;
    this->logCounts();
    std::erase_if(this->Connections, [&](const auto &Entry) {
      const bool Expired = this->isPastLimit(Entry.second, Now);
      if (Expired && Entry.second.Current == State::Incomplete)
        Overdue.push_back(Entry.second);
      return Expired;
    });
    this->updateOpenCount();
    this->resumePorts();
    if (this->Draining)
      this->resumeBodies();
  }
  for (const Connection &Expired : Overdue)
    Expired.Handler->closeOverdue(*Expired.Peer);
}

bool ConnectionServer::isPastLimit(const Connection &Open, Instant Now) const {
  if (Open.Current == State::Busy || Open.Request)
    return false;
  if (Open.Current == State::Incomplete)
    return Now - Open.Since >= Open.Handler->headTimeout();
  if (Open.Current == State::Lingering)
    return Now - Open.Since >= config::LingerTimeout;
  const Duration Limit = Open.Handler->idleTimeout(this->Draining);
  const bool Idle = this->Draining
                        ? Now - this->DrainStart >= Limit &&
                              Now - Open.Since >= config::DrainQuietTime
                        : Now - Open.Since >= Limit;
  // Threads without processor time read a request long after it has arrived.
  return Idle && !Open.Peer->hasInput();
}

void ConnectionServer::drain() {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  this->Draining = true;
  this->DrainStart = bootNow();
}

void ConnectionServer::resumeRequests() {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  for (const auto &[ConnectionId, Open] : this->Connections)
    if (Open.Request || Open.Current == State::Busy)
      this->Resumed->push(ConnectionId);
}

void ConnectionServer::logOpen() {
  std::size_t Unread = 0;
  std::map<State, std::size_t> Count;
  const std::lock_guard<std::mutex> Guard(this->Lock);
  for (const auto &[ConnectionId, Open] : this->Connections) {
    ++Count[Open.Current];
    if (Open.Current == State::Idle && Open.Peer->hasInput())
      ++Unread;
  }
  logEvent(LogLevel::Info, "connections are open at the exit",
           {{"unread", std::to_string(Unread)},
            {"idle", std::to_string(Count[State::Idle])},
            {"busy", std::to_string(Count[State::Busy])},
            {"incomplete", std::to_string(Count[State::Incomplete])},
            {"lingering", std::to_string(Count[State::Lingering])},
            {"suspended", std::to_string(Count[State::Suspended])},
            {"needs_input", std::to_string(Count[State::NeedsInput])},
            {"needs_thread", std::to_string(Count[State::NeedsThread])}});
}

void ConnectionServer::resumeBodies() {
  for (const auto &[ConnectionId, Open] : this->Connections)
    if (Open.Current == State::NeedsInput)
      this->Resumed->push(ConnectionId);
}

void ConnectionServer::updateOpenCount() {
  this->Counts.Open.store(static_cast<std::uint32_t>(this->Connections.size()));
}

} // namespace siskinstage
