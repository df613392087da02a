#include "net/tcp_connection.h"
#include "net/boot_time.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <algorithm>
#include <array>
#include <cerrno>
#include <poll.h>

namespace siskinstage {

namespace {

constexpr std::size_t ReadChunkBytes = 16 * 1024;

tl::unexpected<ConnectionFault> fault(ConnectionFault::Kind Cause,
                                      std::string Reason) {
  return tl::unexpected<ConnectionFault>(
      ConnectionFault{Cause, std::move(Reason)});
}

int pollMillis(Duration Remaining) {
  // Rounded up, so that a wait does not end just before its deadline.
  const auto Millis = std::chrono::ceil<siskinstage::Millis>(Remaining).count();
  return static_cast<int>(std::min<std::int64_t>(Millis, 60'000));
}

/// Whether one of \p Events, or an error, is pending on the descriptor.
bool isPending(int Descriptor, short Events) {
  pollfd Polled{Descriptor, Events, 0};
  int Ready = 0;
  // A signal can interrupt even a poll with a zero timeout.
  do
    Ready = ::poll(&Polled, 1, 0);
  while (Ready < 0 && errno == EINTR);
  return Ready != 0;
}

bool isPeerGone(short Events) {
  const bool Ended = (Events & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
  return Ended;
}

} // namespace

ConnectionResult<TcpConnection> TcpConnection::connect(const Address &Remote,
                                                       Instant Deadline) {
  try {
    Poco::Net::StreamSocket Socket;
    const auto Remaining = std::chrono::ceil<std::chrono::microseconds>(
        std::max<Duration>(timeLeft(Deadline), Millis(1)));
    Socket.connect(Poco::Net::SocketAddress(Remote.str()),
                   Poco::Timespan(Remaining.count()));
    return TcpConnection(Socket);
  } catch (const Poco::TimeoutException &) {
    return fault(ConnectionFault::Kind::ConnectFailed, "connecting timed out");
  } catch (const Poco::Exception &Fault) {
    return fault(ConnectionFault::Kind::ConnectFailed, Fault.displayText());
  }
}

TcpConnection::TcpConnection(const Poco::Net::StreamSocket &Socket)
    : Socket(Socket) {
  this->Socket.setNoDelay(true);
  this->Socket.setBlocking(false);
}

int TcpConnection::descriptor() const { return this->Socket.impl()->sockfd(); }

std::string_view TcpConnection::buffered() const {
  return std::string_view(this->Buffer).substr(this->Consumed);
}

void TcpConnection::consume(std::size_t Bytes) {
  this->Consumed += Bytes;
  if (this->Consumed < this->Buffer.size())
    return;
  this->Buffer.clear();
  this->Consumed = 0;
}

void TcpConnection::shrink() {
  if (!this->buffered().empty())
    return;
  this->Buffer = std::string();
  this->Consumed = 0;
}

ConnectionResult<void>
TcpConnection::awaitEvent(short Events, Instant Deadline,
                          const TcpConnection *Watched) const {
  // poll() ignores entries with the descriptor -1.
  std::array<pollfd, 3> Polled{};
  Polled[0] = {this->descriptor(), Events, 0};
  Polled[1] = {Watched != nullptr ? Watched->descriptor() : -1, POLLRDHUP, 0};
  Polled[2] = {this->Interrupt, POLLIN, 0};
  while (true) {
    const Duration Remaining = timeLeft(Deadline);
    if (Remaining == Duration::zero())
      return fault(ConnectionFault::Kind::Timeout, "the deadline passed");
    const int Ready =
        ::poll(Polled.data(), Polled.size(), pollMillis(Remaining));
    if (Ready < 0 && errno != EINTR)
      return fault(ConnectionFault::Kind::Broken, "poll failed");
    if (Ready <= 0)
      continue;
    if (Polled[0].revents != 0)
      return {};
    if (isPeerGone(Polled[1].revents))
      return fault(ConnectionFault::Kind::Cancelled, "the caller has gone");
    if (Polled[2].revents != 0)
      return fault(ConnectionFault::Kind::Interrupted,
                   "the node is shutting down");
  }
}

ConnectionResult<std::size_t>
TcpConnection::fill(Instant Deadline, const TcpConnection *Watched) {
  if (this->Consumed > 0) {
    this->Buffer.erase(0, this->Consumed);
    this->Consumed = 0;
  }
  // Read into the stack: a chunk from the heap for each request would leave
  // holes between those that wait, which cost more memory than they do.
  std::array<char, ReadChunkBytes> Chunk;
  while (true) {
    int Received = 0;
    try {
      Received = this->Socket.receiveBytes(Chunk.data(),
                                           static_cast<int>(Chunk.size()));
    } catch (const Poco::Exception &Fault) {
      return fault(ConnectionFault::Kind::Broken, Fault.displayText());
    }
    if (Received > 0) {
      this->Buffer.append(Chunk.data(), static_cast<std::size_t>(Received));
      return static_cast<std::size_t>(Received);
    }
    if (Received == 0)
      return fault(ConnectionFault::Kind::Closed,
                   "the peer closed the connection");
    const auto Ready = this->awaitEvent(POLLIN, Deadline, Watched);
    if (!Ready)
      return tl::unexpected<ConnectionFault>(Ready.error());
  }
}

ConnectionResult<void> TcpConnection::write(std::string_view Bytes,
                                            Instant Deadline,
                                            std::size_t &Sent) {
  while (!Bytes.empty()) {
    int Written = 0;
    try {
      Written =
          this->Socket.sendBytes(Bytes.data(), static_cast<int>(Bytes.size()));
    } catch (const Poco::Exception &Fault) {
      // POCO throws when the send buffer is full; wait for room instead.
      if (Fault.code() != EAGAIN && Fault.code() != EWOULDBLOCK)
        return fault(ConnectionFault::Kind::Broken, Fault.displayText());
    }
    if (Written > 0) {
      Sent += static_cast<std::size_t>(Written);
      Bytes.remove_prefix(static_cast<std::size_t>(Written));
      continue;
    }
    const auto Ready = this->awaitEvent(POLLOUT, Deadline, nullptr);
    if (!Ready)
      return Ready;
  }
  return {};
}

ConnectionResult<void> TcpConnection::write(std::string_view Bytes,
                                            Instant Deadline) {
  std::size_t Sent = 0;
  return this->write(Bytes, Deadline, Sent);
}

bool TcpConnection::hasInput() const {
  return !this->buffered().empty() ||
         isPending(this->descriptor(), POLLIN | POLLRDHUP);
}

bool TcpConnection::peerGone() const {
  return isPending(this->descriptor(), POLLRDHUP);
}

void TcpConnection::abort() {
  try {
    this->Socket.setLinger(true, 0);
  } catch (const Poco::Exception &) {
    // The socket is closed already.
  }
  this->close();
}

bool TcpConnection::endSending() {
  try {
    this->Socket.shutdownSend();
  } catch (const Poco::Exception &) {
    return false; // The connection was aborted, or the peer has gone.
  }
  return true;
}

bool TcpConnection::discardInput(Instant Deadline) {
  while (timeLeft(Deadline) > Duration::zero()) {
    this->consume(this->buffered().size());
    const auto Filled = this->fill(bootNow());
    if (!Filled)
      return Filled.error().Cause == ConnectionFault::Kind::Timeout;
  }
  return false;
}

void TcpConnection::close() {
  try {
    this->Socket.close();
  } catch (const Poco::Exception &) {
    // Nothing can be done about a socket that fails to close.
  }
}

std::string TcpConnection::peer() const {
  try {
    return this->Socket.peerAddress().toString();
  } catch (const Poco::Exception &) {
    return "a closed connection";
  }
}

} // namespace siskinstage
