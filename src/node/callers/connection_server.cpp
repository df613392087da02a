#include "node/callers/connection_server.h"
#include "net/boot_time.h"
#include "node/operators/log.h"
#include "siskinstage/config.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/SocketImpl.h>
#include <algorithm>
#include <cerrno>
#include <exception>
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

/// Whether accepting failed for lack of descriptors or memory.
bool isShortage(int Code) {
  return Code == EMFILE || Code == ENFILE || Code == ENOBUFS || Code == ENOMEM;
}

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
                                   ConnectionCounts &Counts)
    : Max(Max), PollSet(PollSet), Counts(Counts),
      Pool("connections", 1, Max.Threads, ThreadIdleSeconds,
           config::CallerThreadStackBytes),
      Worker(*this, &ConnectionServer::runThread) {}

Result<std::unique_ptr<ConnectionServer>>
ConnectionServer::start(const Limits &Max, ConnectionCounts &Counts) {
  const int PollSet = ::epoll_create1(EPOLL_CLOEXEC);
  if (PollSet < 0)
    return fail(Step::Listen, "poll set", "can't create an epoll descriptor");
  std::unique_ptr<ConnectionServer> Server(
      new ConnectionServer(Max, PollSet, Counts));
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

Result<void>
ConnectionServer::listen(const Address &Endpoint,
                         std::shared_ptr<ConnectionHandler> Handler) {
  Port NewPort;
  NewPort.Handler = std::move(Handler);
  try {
    NewPort.Socket.bind(Poco::Net::SocketAddress(Endpoint.str()), true, false);
    NewPort.Socket.listen(config::CallerListenBacklog);
    NewPort.Socket.setBlocking(false);
  } catch (const Poco::Exception &Fault) {
    return fail(Step::Listen, Endpoint.str(), Fault.displayText());
  }
  const std::lock_guard<std::mutex> Guard(this->Lock);
  const Id PortId = this->NextId++;
  const int Descriptor = NewPort.Socket.impl()->sockfd();
  this->Ports.emplace(PortId, std::move(NewPort));
  this->watch(Descriptor, PortId, EPOLL_CTL_ADD);
  return {};
}

void ConnectionServer::watch(int Descriptor, Id Source, int Operation) const {
  epoll_event Event{};
  // With EPOLLONESHOT an event wakes one thread only, which owns the
  // descriptor until it enables the next event.
  Event.events = EPOLLIN | EPOLLRDHUP | EPOLLONESHOT;
  Event.data.u64 = Source;
  if (::epoll_ctl(this->PollSet, Operation, Descriptor, &Event) != 0)
    logEvent(LogLevel::Error, "can't watch a connection: epoll_ctl failed",
             {{"errno", std::to_string(errno)}});
}

bool ConnectionServer::ensureWaiter() {
  if (this->WaitingThreads > 0)
    return true;
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
    bool LastThread = false;
    {
      const std::lock_guard<std::mutex> Guard(this->Lock);
      --this->WaitingThreads;
      LastThread = EventCount > 0 && !this->ensureWaiter();
    }
    if (LastThread)
      ++this->Counts.ThreadsExhausted;
    if (EventCount > 0)
      this->serveEvent(Event.data.u64, LastThread);
    this->sweep();
    if (!this->resumeWaiting())
      return;
  }
}

void ConnectionServer::serveEvent(Id Source, bool LastThread) {
  bool IsPort = false;
  {
    const std::lock_guard<std::mutex> Guard(this->Lock);
    IsPort = this->Ports.count(Source) > 0;
  }
  if (IsPort)
    this->accept(Source);
  else
    this->serveConnection(Source, LastThread);
}

void ConnectionServer::accept(Id PortId) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  const auto Found = this->Ports.find(PortId);
  if (Found == this->Ports.end())
    return;
  Port &From = Found->second;
  // Without a descriptor the connection stays in the backlog, and a watched
  // port would raise the next event at once.
  From.Paused = this->acceptOne(From) == AcceptResult::NoDescriptor;
  if (!From.Paused)
    this->watch(From.Socket.impl()->sockfd(), PortId, EPOLL_CTL_MOD);
}

void ConnectionServer::resumePorts() {
  for (auto &[PortId, Entry] : this->Ports)
    if (std::exchange(Entry.Paused, false))
      this->watch(Entry.Socket.impl()->sockfd(), PortId, EPOLL_CTL_MOD);
}

ConnectionServer::AcceptResult ConnectionServer::acceptOne(Port &From) {
  Poco::Net::StreamSocket Socket;
  try {
    Socket = From.Socket.acceptConnection();
  } catch (const Poco::Exception &Fault) {
    if (!isShortage(Fault.code()))
      // The peer closed it, or another thread accepted it.
      return AcceptResult::None;
    ++this->Counts.AcceptFailures;
    return AcceptResult::NoDescriptor;
  }
  if (this->Connections.size() >= this->Max.Connections) {
    ++this->Counts.Rejected;
    // Closed without reading: the peer knows that no request ran.
    return AcceptResult::Accepted;
  }
  const Id NewId = this->NextId++;
  const auto Peer = std::make_shared<TcpConnection>(Socket);
  this->Connections[NewId] = {Peer, From.Handler, bootNow(), State::Idle};
  this->updateOpenCount();
  this->watch(Peer->descriptor(), NewId, EPOLL_CTL_ADD);
  return AcceptResult::Accepted;
}

std::optional<ConnectionServer::State>
ConnectionServer::serveInput(Connection &Served, bool LastThread) {
  using Next = ConnectionHandler::Next;
  TcpConnection &Peer = *Served.Peer;
  if (Served.Current != State::Lingering) {
    if (Served.Current == State::Idle)
      Served.Since = bootNow();
    Next Status = Served.Handler->serve(Peer, LastThread);
    while (Status == Next::Idle && !Peer.buffered().empty()) {
      Served.Since = bootNow();
      Status = Served.Handler->serve(Peer, LastThread);
    }
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

void ConnectionServer::serveConnection(Id ConnectionId, bool LastThread) {
  Connection Served;
  {
    const std::lock_guard<std::mutex> Guard(this->Lock);
    const auto Found = this->Connections.find(ConnectionId);
    if (Found == this->Connections.end())
      return;
    Served = Found->second;
    Found->second.Current = State::Busy;
  }
  std::optional<State> NextState;
  try {
    NextState = serveInput(Served, LastThread);
  } catch (const std::exception &Fault) {
    logEvent(LogLevel::Error, "closing a connection after an exception",
             {{"peer", Served.Peer->peer()}, {"reason", Fault.what()}});
    Served.Peer->abort();
  }
  const std::lock_guard<std::mutex> Guard(this->Lock);
  if (!NextState) {
    this->Connections.erase(ConnectionId);
    this->updateOpenCount();
    // Releasing the last reference closes the descriptor, which a paused port
    // may need.
    Served.Peer.reset();
    this->resumePorts();
    return;
  }
  Served.Peer->shrink();
  Served.Current = *NextState;
  const int Descriptor = Served.Peer->descriptor();
  this->Connections[ConnectionId] = std::move(Served);
  this->watch(Descriptor, ConnectionId, EPOLL_CTL_MOD);
}

void ConnectionServer::logCounts() {
  logGrowth("all threads are busy; rejecting requests",
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
  }
  for (const Connection &Expired : Overdue)
    Expired.Handler->closeOverdue(*Expired.Peer);
}

bool ConnectionServer::isPastLimit(const Connection &Open, Instant Now) const {
  if (Open.Current == State::Busy)
    return false;
  if (Open.Current == State::Incomplete)
    return Now - Open.Since >= Open.Handler->headTimeout();
  if (Open.Current == State::Lingering)
    return Now - Open.Since >= config::LingerTimeout;
  const Duration Limit = Open.Handler->idleTimeout(this->Draining);
  if (!this->Draining)
    return Now - Open.Since >= Limit;
  return Now - this->DrainStart >= Limit &&
         Now - Open.Since >= config::DrainQuietTime;
}

void ConnectionServer::drain() {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  this->Draining = true;
  this->DrainStart = bootNow();
}

void ConnectionServer::stopAccepting() {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  for (auto &[PortId, Entry] : this->Ports) {
    while (this->acceptOne(Entry) == AcceptResult::Accepted)
      continue;
    Entry.Socket.close();
  }
  this->Ports.clear();
}

void ConnectionServer::updateOpenCount() {
  this->Counts.Open.store(static_cast<std::uint32_t>(this->Connections.size()));
}

} // namespace siskinstage
