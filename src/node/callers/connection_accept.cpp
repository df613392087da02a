// How ConnectionServer opens its ports and accepts connections.
#include "net/boot_time.h"
#include "node/callers/connection_server.h"
#include "siskinstage/config.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/SocketImpl.h>
#include <cerrno>
#include <poll.h>
#include <sys/epoll.h>
#include <utility>

namespace siskinstage {

namespace {

/// Whether a connection is in the backlog.
bool isReady(const Poco::Net::ServerSocket &Socket) {
  pollfd Polled{Socket.impl()->sockfd(), POLLIN, 0};
  return ::poll(&Polled, 1, 0) > 0;
}

/// Whether accepting failed for lack of descriptors or memory.
bool isShortage(int Code) {
  return Code == EMFILE || Code == ENFILE || Code == ENOBUFS || Code == ENOMEM;
}

} // namespace

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

void ConnectionServer::accept(Id PortId) {
  const std::lock_guard<std::mutex> Guard(this->Lock);
  const auto Found = this->Ports.find(PortId);
  if (Found == this->Ports.end())
    return;
  Port &From = Found->second;
  // The next event of the port comes after those of all connections with input,
  // and a caller counts its time from when it connects.
  AcceptResult Last = this->acceptOne(From);
  for (int I = 1; I < config::CallerListenBacklog &&
                  Last == AcceptResult::Accepted && isReady(From.Socket);
       ++I)
    Last = this->acceptOne(From);
  // Without a descriptor the connection stays in the backlog, and a watched
  // port would raise the next event at once.
  From.Paused = Last == AcceptResult::NoDescriptor;
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
  this->Connections[NewId] = {Peer,  From.Handler, nullptr,
                              false, bootNow(),    State::Idle};
  this->updateOpenCount();
  this->watch(Peer->descriptor(), NewId, EPOLL_CTL_ADD);
  return AcceptResult::Accepted;
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

} // namespace siskinstage
