#ifndef SISKINSTAGE_NET_TCP_CONNECTION_H
#define SISKINSTAGE_NET_TCP_CONNECTION_H

#include "siskinstage/strong_id.h"
#include "siskinstage/units.h"

#include <Poco/Net/StreamSocket.h>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace siskinstage {

/// Why a read or write on a connection did not come about.
struct ConnectionFault {
  enum class Kind {
    Timeout,       ///< The deadline passed.
    Closed,        ///< The peer ended its side in order.
    Broken,        ///< Reset or another error.
    ConnectFailed, ///< The connection was not established.
    Cancelled,     ///< The watched connection's peer has gone.
  };
  Kind Cause = Kind::Broken;
  std::string Reason;
};

template <typename T> using ConnectionResult = tl::expected<T, ConnectionFault>;

/// A TCP connection with a read buffer and deadlines in place of blocking.
class TcpConnection {
public:
  /// Connects to \p Where before \p Deadline.
  static ConnectionResult<TcpConnection> connect(const Address &Where,
                                                 Instant Deadline);

  /// Takes over a connected socket.
  explicit TcpConnection(const Poco::Net::StreamSocket &Socket);

  /// Bytes that were read and not consumed.
  [[nodiscard]] std::string_view buffered() const;
  void consume(std::size_t Bytes);
  /// Reads more bytes into the buffer.
  /// \param Watched if not null, ends with Cancelled when its peer goes away.
  /// \returns how many; a fault Closed at the end of the stream.
  ConnectionResult<std::size_t> fill(Instant Deadline,
                                     const TcpConnection *Watched = nullptr);
  /// Writes all of \p Bytes.
  /// \param Sent grows by the bytes handed to the system, also on a fault.
  ConnectionResult<void> write(std::string_view Bytes, Instant Deadline,
                               std::size_t &Sent);
  ConnectionResult<void> write(std::string_view Bytes, Instant Deadline);
  /// Whether the peer has ended or reset the connection, or has sent bytes
  /// that nobody asked for.
  [[nodiscard]] bool stale() const;
  /// Whether the peer has ended or reset the connection.
  [[nodiscard]] bool peerGone() const;
  /// Gives the read buffer's memory back while the connection is idle.
  void shrink();
  /// Ends the connection at once with a reset, so that the peer can't take a
  /// cut answer for a whole one.
  void abort();
  /// Ends this side. \returns false if the connection is ended already.
  bool endSending();
  /// Drops the bytes that have come, without waiting for more.
  /// \returns whether the peer may still send, and \p Deadline is not past.
  bool discardInput(Instant Deadline);
  void close();
  [[nodiscard]] std::string peer() const;
  /// For poll sets.
  [[nodiscard]] int descriptor() const;

private:
  Poco::Net::StreamSocket Socket;
  std::string Buffer;
  std::size_t Used = 0; ///< Bytes of Buffer that were consumed.

  ConnectionResult<void> awaitEvent(short Events, Instant Deadline,
                                    const TcpConnection *Watched) const;
};

} // namespace siskinstage

#endif // SISKINSTAGE_NET_TCP_CONNECTION_H
