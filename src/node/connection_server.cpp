#include "node/connection_server.h"
#include "net/boot_time.h"
#include "node/log.h"
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

/// Beyond so many, threads without work end: one serves while one waits.
constexpr int SpareThreads = 2;
/// A thread that ended is kept for reuse as long as a burst lasts.
constexpr int ThreadIdleSeconds = 5;

/// Whether accepting failed for want of descriptors or memory.
bool isShortage(int Code) {
  return Code == EMFILE || Code == ENFILE || Code == ENOBUFS || Code == ENOMEM;
}

/// Logs \p What if \p Count has grown since it was logged.
void logGrowth(const char *What, std::uint64_t Count, std::uint64_t &Logged) {
  if (Count != Logged)
    logEvent(LogLevel::Warn, What, {{"times", std::to_string(Count - Logged)}});
  Logged = Count;
}

} // namespace

ConnectionServer::ConnectionServer(const Limits &Most, int PollSet,
                                   ConnectionCounts &Counts)
    : Most(Most), PollSet(PollSet), Counts(Counts),
      Pool("connections", 1, Most.Threads, ThreadIdleSeconds,
           config::CallerThreadStackBytes),
      Worker(*this, &ConnectionServer::work) {}

Result<std::unique_ptr<ConnectionServer>>
ConnectionServer::start(const Limits &Most, ConnectionCounts &Counts) {
  const int PollSet = ::epoll_create1(EPOLL_CLOEXEC);
  if (PollSet < 0)
    return fail(Step::Listen, "poll set", "the system gives no descriptor");
  std::unique_ptr<ConnectionServer> New(
      new ConnectionServer(Most, PollSet, Counts));
  const std::lock_guard<std::mutex> Guard(New->Lock);
  New->NextSweep = bootNow() + config::IdleSweepPeriod;
  New->ensureWaiter();
  return New;
}

ConnectionServer::~ConnectionServer() {
  {
    const std::lock_guard<std::mutex> Guard(this->Lock);
    this->Stopped = true;
  }
  this->Pool.joinAll();
  ::close(this->PollSet);
}

Result<void> ConnectionServer::listen(const Address &Where,
                                      std::shared_ptr<ConnectionHandler> How) {
  Port New;
  New.How = std::move(How);
  try {
    New.Socket.bind(Poco::Net::SocketAddress(Where.str()), true, false);
    New.Socket.listen(config::CallerListenBacklog);
    New.Socket.setBlocking(false);
  } catch (const Poco::Exception &Fault) {
    return fail(Step::Listen, Where.str(), Fault.displayText());
  }
  const std::lock_guard<std::mutex> Guard(this->Lock);
  const Id Which = this->NextId++;
  const int Descriptor = New.Socket.impl()->sockfd();
  this->Ports.emplace(Which, std::move(New));
  this->watch(Descriptor, Which, EPOLL_CTL_ADD);
  return {};
}

void ConnectionServer::watch(int Descriptor, Id Which, int Operation) const {
  epoll_event Event{};
  // One event wakes one thread, which has the descriptor for itself until it
  // asks for the next one.
  Event.events = EPOLLIN | EPOLLRDHUP | EPOLLONESHOT;
  Event.data.u64 = Which;
  if (::epoll_ctl(this->PollSet, Operation, Descriptor, &Event) != 0)
    logEvent(LogLevel::Error, "a connection can't be watched",
             {{"errno", std::to_string(errno)}});
}

bool ConnectionServer::ensureWaiter() {
  if (this->Waiting > 0)
    return true;
  if (this->Running >= this->Most.Threads)
    return false;
  try {
    this->Pool.start(this->Worker);
  } catch (const Poco::Exception &Fault) {
    // The threads that run take the next event when they are done.
    logEvent(LogLevel::Error, "no further thread serves connections",
             {{"threads", std::to_string(this->Running)},
              {"reason", Fault.displayText()}});
    return false;
  }
  ++this->Running;
  ++this->Waiting;
  return true;
}

bool ConnectionServer::waitAgain() {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  if (this->Stopped || this->Waiting >= SpareThreads) {
    --this->Running;
    return false;
  }
  ++this->Waiting;
  return true;
}

void ConnectionServer::work() {
  const auto Pause = static_cast<int>(config::IdleSweepPeriod.count());
  while (true) {
    epoll_event Event{};
    const int Got = ::epoll_wait(this->PollSet, &Event, 1, Pause);
    bool Last = false;
    {
      const std::lock_guard<std::mutex> Guard(this->Lock);
      --this->Waiting;
      Last = Got > 0 && !this->ensureWaiter();
    }
    if (Last)
      ++this->Counts.ThreadsExhausted;
    if (Got > 0)
      this->serveEvent(Event.data.u64, Last);
    this->sweep();
    if (!this->waitAgain())
      return;
  }
}

void ConnectionServer::serveEvent(Id Which, bool LastThread) {
  bool IsPort = false;
  {
    const std::lock_guard<std::mutex> Guard(this->Lock);
    IsPort = this->Ports.count(Which) > 0;
  }
  if (IsPort)
    this->accept(Which);
  else
    this->serveConnection(Which, LastThread);
}

void ConnectionServer::accept(Id Which) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  const auto Found = this->Ports.find(Which);
  if (Found == this->Ports.end())
    return;
  Port &From = Found->second;
  // Without a descriptor the connection stays where it is, and a watched port
  // would have its next event at once.
  From.Resting = this->acceptOne(From) == Accepted::NoDescriptor;
  if (!From.Resting)
    this->watch(From.Socket.impl()->sockfd(), Which, EPOLL_CTL_MOD);
}

void ConnectionServer::wakePorts() {
  for (auto &[Which, Each] : this->Ports)
    if (std::exchange(Each.Resting, false))
      this->watch(Each.Socket.impl()->sockfd(), Which, EPOLL_CTL_MOD);
}

ConnectionServer::Accepted ConnectionServer::acceptOne(Port &From) {
  Poco::Net::StreamSocket Socket;
  try {
    Socket = From.Socket.acceptConnection();
  } catch (const Poco::Exception &Fault) {
    if (!isShortage(Fault.code()))
      return Accepted::None; // It was gone again, or another thread has it.
    ++this->Counts.AcceptFailures;
    return Accepted::NoDescriptor;
  }
  if (this->Connections.size() >= this->Most.Connections) {
    ++this->Counts.Rejected;
    return Accepted::One; // Closed unread: the peer knows that nothing was run.
  }
  const Id New = this->NextId++;
  const auto Peer = std::make_shared<TcpConnection>(Socket);
  this->Connections[New] = {Peer, From.How, bootNow(), State::Idle};
  this->count();
  this->watch(Peer->descriptor(), New, EPOLL_CTL_ADD);
  return Accepted::One;
}

std::optional<ConnectionServer::State>
ConnectionServer::serveHeld(Held &Each, bool LastThread) {
  using Next = ConnectionHandler::Next;
  TcpConnection &Peer = *Each.Peer;
  if (Each.Now != State::Ending) {
    if (Each.Now == State::Idle)
      Each.Since = bootNow();
    Next Then = Each.How->serve(Peer, LastThread);
    while (Then == Next::Idle && !Peer.buffered().empty()) {
      Each.Since = bootNow();
      Then = Each.How->serve(Peer, LastThread);
    }
    if (Then == Next::Incomplete)
      return State::Begun;
    Each.Since = bootNow();
    if (Then == Next::Idle)
      return State::Idle;
    if (!Peer.endSending())
      return std::nullopt;
  }
  // Closing with bytes unread would reset the connection, and the answer could
  // be lost with it.
  if (!Peer.discardInput(Each.Since + config::LingerTimeout))
    return std::nullopt;
  return State::Ending;
}

void ConnectionServer::serveConnection(Id Which, bool LastThread) {
  Held Taken;
  {
    const std::lock_guard<std::mutex> Guard(this->Lock);
    const auto Found = this->Connections.find(Which);
    if (Found == this->Connections.end())
      return;
    Taken = Found->second;
    Found->second.Now = State::Busy;
  }
  std::optional<State> Then;
  try {
    Then = serveHeld(Taken, LastThread);
  } catch (const std::exception &Fault) {
    logEvent(LogLevel::Error, "a connection ended on an exception",
             {{"peer", Taken.Peer->peer()}, {"reason", Fault.what()}});
    Taken.Peer->abort();
  }
  const std::lock_guard<std::mutex> Guard(this->Lock);
  if (!Then) {
    this->Connections.erase(Which);
    this->count();
    // The last reference closes the descriptor.
    Taken.Peer.reset();
    this->wakePorts();
    return;
  }
  Taken.Peer->shrink();
  Taken.Now = *Then;
  const int Descriptor = Taken.Peer->descriptor();
  this->Connections[Which] = std::move(Taken);
  this->watch(Descriptor, Which, EPOLL_CTL_MOD);
}

void ConnectionServer::logCounts() {
  logGrowth("all threads are taken, requests are refused",
            this->Counts.ThreadsExhausted.load(), this->ThreadsExhaustedLogged);
  logGrowth("connections beyond the limit are closed",
            this->Counts.Rejected.load(), this->RejectedLogged);
  logGrowth("no descriptor is left for a connection",
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
  std::vector<Held> Late;
  {
    const std::lock_guard<std::mutex> Guard(this->Lock);
    this->NextSweep = Now + config::IdleSweepPeriod;
    this->logCounts();
    std::erase_if(this->Connections, [&](const auto &Entry) {
      const bool Past = this->isPastLimit(Entry.second, Now);
      if (Past && Entry.second.Now == State::Begun)
        Late.push_back(Entry.second);
      return Past;
    });
    this->count();
    this->wakePorts();
  }
  for (const Held &Each : Late)
    Each.How->closeOverdue(*Each.Peer);
}

bool ConnectionServer::isPastLimit(const Held &Each, Instant Now) const {
  if (Each.Now == State::Busy)
    return false;
  if (Each.Now == State::Begun)
    return Now - Each.Since >= Each.How->headTimeout();
  if (Each.Now == State::Ending)
    return Now - Each.Since >= config::LingerTimeout;
  const Duration Limit = Each.How->idleTimeout(this->Draining);
  if (!this->Draining)
    return Now - Each.Since >= Limit;
  return Now - this->DrainStart >= Limit &&
         Now - Each.Since >= config::DrainQuietTime;
}

void ConnectionServer::drain() {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  this->Draining = true;
  this->DrainStart = bootNow();
}

void ConnectionServer::stopAccepting() {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  for (auto &[Which, Each] : this->Ports) {
    while (this->acceptOne(Each) == Accepted::One)
      continue;
    Each.Socket.close();
  }
  this->Ports.clear();
}

void ConnectionServer::count() {
  this->Counts.Open.store(static_cast<std::uint32_t>(this->Connections.size()));
}

} // namespace siskinstage
