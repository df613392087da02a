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

} // namespace

ConnectionServer::ConnectionServer(const Limits &Most, int PollSet,
                                   std::atomic<std::uint32_t> &Open)
    : Most(Most), PollSet(PollSet), Open(Open),
      Pool("connections", 1, Most.Threads, ThreadIdleSeconds,
           config::CallerThreadStackBytes),
      Worker(*this, &ConnectionServer::work) {}

Result<std::unique_ptr<ConnectionServer>>
ConnectionServer::start(const Limits &Most, std::atomic<std::uint32_t> &Open) {
  const int PollSet = ::epoll_create1(EPOLL_CLOEXEC);
  if (PollSet < 0)
    return fail(Step::Listen, "poll set", "the system gives no descriptor");
  std::unique_ptr<ConnectionServer> New(
      new ConnectionServer(Most, PollSet, Open));
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

void ConnectionServer::ensureWaiter() {
  if (this->Waiting > 0 || this->Running >= this->Most.Threads)
    return;
  try {
    this->Pool.start(this->Worker);
  } catch (const Poco::Exception &Fault) {
    // The threads that run take the next event when they are done.
    logEvent(LogLevel::Error, "no further thread serves connections",
             {{"threads", std::to_string(this->Running)},
              {"reason", Fault.displayText()}});
    return;
  }
  ++this->Running;
  ++this->Waiting;
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
    {
      const std::lock_guard<std::mutex> Guard(this->Lock);
      --this->Waiting;
      if (Got > 0)
        this->ensureWaiter();
    }
    if (Got > 0)
      this->serveEvent(Event.data.u64);
    this->sweep();
    if (!this->waitAgain())
      return;
  }
}

void ConnectionServer::serveEvent(Id Which) {
  bool IsPort = false;
  {
    const std::lock_guard<std::mutex> Guard(this->Lock);
    IsPort = this->Ports.count(Which) > 0;
  }
  if (IsPort)
    this->accept(Which);
  else
    this->serveConnection(Which);
}

void ConnectionServer::accept(Id Which) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  const auto Found = this->Ports.find(Which);
  if (Found == this->Ports.end())
    return;
  this->acceptOne(Found->second);
  this->watch(Found->second.Socket.impl()->sockfd(), Which, EPOLL_CTL_MOD);
}

bool ConnectionServer::acceptOne(Port &From) {
  Poco::Net::StreamSocket Socket;
  try {
    Socket = From.Socket.acceptConnection();
  } catch (const Poco::Exception &) {
    return false; // It was gone again, or another thread has it.
  }
  if (this->Connections.size() >= this->Most.Connections)
    return true; // Closed unread, which tells the peer that nothing was run.
  const Id New = this->NextId++;
  const auto Peer = std::make_shared<Wire>(Socket);
  this->Connections[New] = {Peer, From.How, bootNow(), State::Idle};
  this->count();
  this->watch(Peer->descriptor(), New, EPOLL_CTL_ADD);
  return true;
}

void ConnectionServer::serveConnection(Id Which) {
  std::shared_ptr<Wire> Peer;
  std::shared_ptr<ConnectionHandler> How;
  Instant Begun = bootNow();
  {
    const std::lock_guard<std::mutex> Guard(this->Lock);
    const auto Found = this->Connections.find(Which);
    if (Found == this->Connections.end())
      return;
    if (Found->second.Now == State::Begun)
      Begun = Found->second.Since;
    Found->second.Now = State::Busy;
    Peer = Found->second.Peer;
    How = Found->second.How;
  }
  auto Next = ConnectionHandler::Next::Idle;
  try {
    Next = How->serve(*Peer);
    while (Next == ConnectionHandler::Next::Idle && !Peer->buffered().empty()) {
      Begun = bootNow();
      Next = How->serve(*Peer);
    }
    if (Next == ConnectionHandler::Next::Close)
      Peer->finish(bootNow() + config::LingerTime);
  } catch (const std::exception &Fault) {
    logEvent(LogLevel::Error, "a connection ended on an exception",
             {{"peer", Peer->peer()}, {"reason", Fault.what()}});
    Peer->abort();
    Next = ConnectionHandler::Next::Close;
  }
  const std::lock_guard<std::mutex> Guard(this->Lock);
  if (Next == ConnectionHandler::Next::Close) {
    this->Connections.erase(Which);
    this->count();
    return;
  }
  Peer->shrink();
  Held &Kept = this->Connections[Which];
  const bool IsIdle = Next == ConnectionHandler::Next::Idle;
  Kept.Now = IsIdle ? State::Idle : State::Begun;
  Kept.Since = IsIdle ? bootNow() : Begun;
  this->watch(Peer->descriptor(), Which, EPOLL_CTL_MOD);
}

void ConnectionServer::sweep() {
  {
    const std::lock_guard<std::mutex> Guard(this->Lock);
    if (bootNow() < this->NextSweep)
      return;
  }
  this->closeIdle();
}

void ConnectionServer::closeIdle() {
  const Instant Now = bootNow();
  std::vector<Held> Late;
  {
    const std::lock_guard<std::mutex> Guard(this->Lock);
    this->NextSweep = Now + config::IdleSweepPeriod;
    std::erase_if(this->Connections, [&](const auto &Entry) {
      const bool Past = this->isPastLimit(Entry.second, Now);
      if (Past && Entry.second.Now == State::Begun)
        Late.push_back(Entry.second);
      return Past;
    });
    this->count();
  }
  for (const Held &Each : Late)
    Each.How->endLate(*Each.Peer);
}

bool ConnectionServer::isPastLimit(const Held &Each, Instant Now) const {
  if (Each.Now == State::Busy)
    return false;
  if (Each.Now == State::Begun)
    return Now - Each.Since >= Each.How->headLimit();
  const Duration Limit = Each.How->idleLimit(this->Draining);
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
    while (this->acceptOne(Each))
      continue;
    Each.Socket.close();
  }
  this->Ports.clear();
}

void ConnectionServer::count() {
  this->Open.store(static_cast<std::uint32_t>(this->Connections.size()));
}

} // namespace siskinstage
