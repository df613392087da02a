#ifndef SISKINSTAGE_NET_TCP_CONNECTION_H
#define SISKINSTAGE_NET_TCP_CONNECTION_H

#include "siskinstage/strong_id.h"
#include "siskinstage/units.h"

#include <Poco/Net/StreamSocket.h>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace siskinstage {

/// Why connecting, reading or writing failed.
struct ConnectionFault {
  enum class Kind {
    Timeout,       ///< The deadline passed.
    Closed,        ///< The peer closed the connection in an orderly way.
    Broken,        ///< The connection was reset, or another error.
    ConnectFailed, ///< The connection was not established.
    Cancelled,     ///< The peer of the watched connection has gone.
    Interrupted,   ///< See TcpConnection::endWaitsBy().
  };
  Kind Cause = Kind::Broken;
  std::string Reason;
};

/// Result of an operation on a connection.
template <typename T> using ConnectionResult = tl::expected<T, ConnectionFault>;

/// A TCP connection with a read buffer. Its socket is non-blocking; calls that
/// wait take a deadline.
class TcpConnection {
public:
  /// Connects to \p Remote before \p Deadline.
  static ConnectionResult<TcpConnection> connect(const Address &Remote,
                                                 Instant Deadline);

  /// Takes over a connected socket and makes it non-blocking.
  explicit TcpConnection(const Poco::Net::StreamSocket &Socket);

  /// Returns the bytes that were read and are not yet consumed. The view is
  /// valid until the next call of consume, fill, shrink or discardInput.
  [[nodiscard]] std::string_view buffered() const;
  /// Removes the first \p Bytes bytes from the buffered ones.
  void consume(std::size_t Bytes);
  /// Reads more bytes into the buffer.
  /// \param Watched if not null, the wait ends with Cancelled when the peer of
  ///        this connection closes or resets it.
  /// \returns the number of bytes read, or the fault Closed at the end of the
  ///        stream.
  ConnectionResult<std::size_t> fill(Instant Deadline,
                                     const TcpConnection *Watched = nullptr);
  /// Writes all of \p Bytes.
  /// \param Sent is increased by the bytes handed to the system, also on a
  ///        fault.
  ConnectionResult<void> write(std::string_view Bytes, Instant Deadline,
                               std::size_t &Sent);
  ConnectionResult<void> write(std::string_view Bytes, Instant Deadline);
  /// Ends the waits of this connection with Interrupted while \p Descriptor is
  /// readable; -1 for never. What has been received is still read.
  void endWaitsBy(int Descriptor) { this->Interrupt = Descriptor; }
  /// Whether bytes or the end of the stream wait to be read. An idle connection
  /// to a target can't be reused then.
  [[nodiscard]] bool hasInput() const;
  /// Whether the peer has closed or reset the connection.
  [[nodiscard]] bool peerGone() const;
  /// Frees the memory of the read buffer, if the buffer is empty.
  void shrink();
  /// Closes the connection with a reset, so that the peer can't mistake a
  /// truncated response for a complete one.
  void abort();
  /// Shuts down the sending side. \returns false if the connection is already
  /// closed.
  bool endSending();
  /// Discards the bytes received so far, without waiting for more.
  /// \returns whether the peer may still send and \p Deadline has not passed.
  bool discardInput(Instant Deadline);
  void close();
  /// Returns the address of the peer, for logs.
  [[nodiscard]] std::string peer() const;
  /// Returns the file descriptor, for poll sets.
  [[nodiscard]] int descriptor() const;

private:
  Poco::Net::StreamSocket Socket;
  std::string Buffer;
  std::size_t Consumed = 0; ///< Bytes at the start of Buffer that are consumed.
  int Interrupt = -1;       ///< Descriptor that ends waits.

  ConnectionResult<void> awaitEvent(short Events, Instant Deadline,
                                    const TcpConnection *Watched) const;
};

} // namespace siskinstage

#endif // SISKINSTAGE_NET_TCP_CONNECTION_H
