#ifndef SISKINSTAGE_NODE_CONNECTION_SERVER_H
#define SISKINSTAGE_NODE_CONNECTION_SERVER_H

#include "net/tcp_connection.h"
#include "node/connection_counts.h"
#include "node/connection_handler.h"
#include "siskinstage/error.h"
#include "siskinstage/strong_id.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/RunnableAdapter.h>
#include <Poco/ThreadPool.h>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace siskinstage {

/// Listens on ports and serves their connections. A connection without news
/// holds a descriptor and no thread: all wait on one poll set, on which the
/// threads wait in turn. Whoever gets an event serves it to its end, and
/// another thread is waiting by then.
class ConnectionServer {
public:
  struct Limits {
    std::size_t Connections = 0; ///< More are closed as soon as they come.
    int Threads = 0; ///< One more than the requests that are served at once.
  };

  static Result<std::unique_ptr<ConnectionServer>>
  start(const Limits &Most, ConnectionCounts &Counts);
  ~ConnectionServer();
  ConnectionServer(const ConnectionServer &) = delete;
  ConnectionServer &operator=(const ConnectionServer &) = delete;

  /// Opens a port.
  Result<void> listen(const Address &Where,
                      std::shared_ptr<ConnectionHandler> How);
  /// From now on idle connections are kept as while draining.
  void drain();
  /// Closes connections past their limits; this is also done once a second.
  void closeExpired();
  /// Takes no new connections at any port; open ones go on, and so do those
  /// that were connected but not yet accepted.
  void stopAccepting();

private:
  using Id = std::uint64_t;
  enum class State {
    Idle,
    Busy,   ///< A thread serves it.
    Begun,  ///< A part of a message has come.
    Ending, ///< The last answer is sent; the peer may still be sending.
  };
  /// A connection that waits for its peer, or is being served.
  struct Held {
    std::shared_ptr<TcpConnection> Peer;
    std::shared_ptr<ConnectionHandler> How;
    Instant Since; ///< Of the state, for Begun of the first byte.
    State Now = State::Idle;
  };
  struct Port {
    Poco::Net::ServerSocket Socket;
    std::shared_ptr<ConnectionHandler> How;
    bool Resting = false; ///< Not watched, for want of a descriptor.
  };
  enum class Accepted { One, None, NoDescriptor };

  const Limits Most;
  const int PollSet;
  ConnectionCounts &Counts;
  Poco::ThreadPool Pool;
  Poco::RunnableAdapter<ConnectionServer> Worker;
  std::mutex Lock;
  std::unordered_map<Id, Port> Ports;
  std::unordered_map<Id, Held> Connections;
  Id NextId = 1;
  int Running = 0; ///< Threads.
  int Waiting = 0; ///< Threads that wait for an event.
  bool Stopped = false;
  bool Draining = false;
  Instant DrainStart;
  Instant NextSweep;
  // Of Counts, what was logged already.
  std::uint64_t ThreadsExhaustedLogged = 0;
  std::uint64_t RejectedLogged = 0;
  std::uint64_t AcceptFailuresLogged = 0;

  ConnectionServer(const Limits &Most, int PollSet, ConnectionCounts &Counts);
  void work();
  /// Starts a thread if none waits. The lock must be held.
  /// \returns whether one waits.
  bool ensureWaiter();
  /// Counts this thread as waiting again. \returns false if it is to end.
  bool waitAgain();
  void serveEvent(Id Which, bool LastThread);
  void accept(Id Which);
  /// Accepts one connection of a port. The lock must be held.
  Accepted acceptOne(Port &From);
  /// Watches the resting ports again. The lock must be held.
  void wakePorts();
  void serveConnection(Id Which, bool LastThread);
  /// \returns the state in which the connection is kept, nothing if it is not.
  static std::optional<State> serveHeld(Held &Each, bool LastThread);
  void sweep();
  /// Logs what has been counted since the last time. The lock must be held.
  void logCounts();
  [[nodiscard]] bool isPastLimit(const Held &Each, Instant Now) const;
  /// Shows the number of open connections. The lock must be held.
  void count();
  void watch(int Descriptor, Id Which, int Operation) const;
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_CONNECTION_SERVER_H
