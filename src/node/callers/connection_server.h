#ifndef SISKINSTAGE_NODE_CALLERS_CONNECTION_SERVER_H
#define SISKINSTAGE_NODE_CALLERS_CONNECTION_SERVER_H

#include "net/tcp_connection.h"
#include "node/callers/connection_counts.h"
#include "node/callers/connection_handler.h"
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

/// Listens on ports and serves their connections with a pool of threads. An
/// idle connection holds a descriptor but no thread: one epoll set watches all
/// ports and connections. A thread that receives an event makes sure that
/// another thread waits for the next one, and then handles the event to its
/// end.
class ConnectionServer {
public:
  struct Limits {
    std::size_t Connections = 0; ///< Further ones are closed on accept.
    int Threads = 0; ///< One more than the requests served concurrently.
  };

  /// Starts the first thread; \p Counts must outlive the server.
  static Result<std::unique_ptr<ConnectionServer>>
  start(const Limits &Max, ConnectionCounts &Counts);
  ~ConnectionServer();
  ConnectionServer(const ConnectionServer &) = delete;
  ConnectionServer &operator=(const ConnectionServer &) = delete;

  /// Opens a port, whose connections \p Handler serves.
  Result<void> listen(const Address &Endpoint,
                      std::shared_ptr<ConnectionHandler> Handler);
  /// Applies the idle timeouts of a draining process from now on.
  void drain();
  /// Closes the connections past their time limits. The threads also do this
  /// every config::IdleSweepPeriod.
  void closeExpired();
  /// Closes all ports, after accepting the connections that are already
  /// established. Open connections are still served.
  void stopAccepting();

private:
  /// Identifies a port or a connection in the epoll set.
  using Id = std::uint64_t;
  enum class State {
    Idle,
    Busy,       ///< A thread serves it.
    Incomplete, ///< A part of a message was received.
    Lingering,  ///< The last response is sent; the peer may still be sending.
  };
  struct Connection {
    std::shared_ptr<TcpConnection> Peer;
    std::shared_ptr<ConnectionHandler> Handler;
    /// Start of the state; for Incomplete, when the message began.
    Instant Since;
    State Current = State::Idle;
  };
  struct Port {
    Poco::Net::ServerSocket Socket;
    std::shared_ptr<ConnectionHandler> Handler;
    bool Paused = false; ///< Not watched, for lack of descriptors or memory.
  };
  enum class AcceptResult { Accepted, None, NoDescriptor };

  const Limits Max;
  const int PollSet;
  ConnectionCounts &Counts;
  Poco::ThreadPool Pool;
  Poco::RunnableAdapter<ConnectionServer> Worker;
  std::mutex Lock;
  std::unordered_map<Id, Port> Ports;
  std::unordered_map<Id, Connection> Connections;
  Id NextId = 1;
  int RunningThreads = 0;
  int WaitingThreads = 0; ///< Threads that wait for an event.
  bool Stopped = false;
  bool Draining = false;
  Instant DrainStart;
  Instant NextSweep;
  // Values of Counts when they were last logged.
  std::uint64_t ThreadsExhaustedLogged = 0;
  std::uint64_t RejectedLogged = 0;
  std::uint64_t AcceptFailuresLogged = 0;

  ConnectionServer(const Limits &Max, int PollSet, ConnectionCounts &Counts);
  /// Main loop of a thread.
  void runThread();
  /// Starts a thread if none is waiting. The lock must be held.
  /// \returns whether a thread is waiting.
  bool ensureWaiter();
  /// Counts this thread as waiting again. \returns false if it must end.
  bool resumeWaiting();
  void serveEvent(Id Source, bool LastThread);
  void accept(Id PortId);
  /// Accepts one connection of a port. The lock must be held.
  AcceptResult acceptOne(Port &From);
  /// Watches the paused ports again. The lock must be held.
  void resumePorts();
  void serveConnection(Id ConnectionId, bool LastThread);
  /// Serves the messages that were received on a connection.
  /// \returns its next state, or nothing if it must be closed.
  static std::optional<State> serveInput(Connection &Served, bool LastThread);
  /// Calls closeExpired if IdleSweepPeriod has passed.
  void sweep();
  /// Logs the counts that have grown since they were last logged. The lock must
  /// be held.
  void logCounts();
  [[nodiscard]] bool isPastLimit(const Connection &Open, Instant Now) const;
  /// Updates the count of open connections. The lock must be held.
  void updateOpenCount();
  /// Adds a descriptor to the epoll set, or enables its next event.
  void watch(int Descriptor, Id Source, int Operation) const;
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_CALLERS_CONNECTION_SERVER_H
