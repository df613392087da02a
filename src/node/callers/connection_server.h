#ifndef SISKINSTAGE_NODE_CALLERS_CONNECTION_SERVER_H
#define SISKINSTAGE_NODE_CALLERS_CONNECTION_SERVER_H

#include "net/tcp_connection.h"
#include "node/callers/connection_counts.h"
#include "node/callers/connection_handler.h"
#include "node/callers/resume_queue.h"
#include "siskinstage/error.h"
#include "siskinstage/strong_id.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/RunnableAdapter.h>
#include <Poco/ThreadPool.h>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace siskinstage {

class TimerQueue;

/// Listens on ports and serves their connections with a pool of threads. An
/// idle connection holds a descriptor but no thread: one epoll set watches all
/// ports and connections. A thread that receives an event makes sure that
/// another thread waits for the next one, and then handles the event to its
/// end.
///
/// A request may also be suspended: it then holds its connection and memory,
/// but no thread, and a thread resumes it when it is woken or its peer closes
/// the connection. A thread never waits for another request, and the last free
/// one does nothing that may block, so that the heads of further requests are
/// still read while all other threads are busy.
class ConnectionServer {
public:
  struct Limits {
    std::size_t Connections = 0; ///< Further ones are closed on accept.
    int Threads = 0; ///< One more than the requests that may block at a time.
  };

  /// Starts the first thread; \p Counts and \p Timers must outlive the server.
  /// \param Timers run by the threads; may be null.
  static Result<std::unique_ptr<ConnectionServer>>
  start(const Limits &Max, ConnectionCounts &Counts,
        TimerQueue *Timers = nullptr);
  ~ConnectionServer();
  ConnectionServer(const ConnectionServer &) = delete;
  ConnectionServer &operator=(const ConnectionServer &) = delete;

  /// Opens a port, whose connections \p Handler serves.
  Result<void> listen(const Address &Endpoint,
                      std::shared_ptr<ConnectionHandler> Handler);
  /// Applies the idle timeouts of a draining process from now on.
  void drain();
  /// Resumes all requests that wait, so that they set their timers again: in a
  /// planned stop, their time limits become shorter.
  void resumeRequests();
  /// Closes the connections past their time limits. The threads also do this
  /// every config::IdleSweepPeriod.
  void closeExpired();
  /// Closes all ports, after accepting the connections that are already
  /// established. Open connections are still served.
  void stopAccepting();
  /// Logs how many connections are open in which state.
  void logOpen();

private:
  /// Identifies a port or a connection in the epoll set.
  using Id = std::uint64_t;
  enum class State {
    Idle,
    Busy,        ///< A thread serves it.
    Incomplete,  ///< A part of a message was received.
    Lingering,   ///< The last response is sent; the peer may still be sending.
    Suspended,   ///< Its request waits for a wakeup.
    NeedsInput,  ///< Its request waits for input or a wakeup.
    NeedsThread, ///< Its request waits for a thread or a wakeup.
  };
  struct Connection {
    std::shared_ptr<TcpConnection> Peer;
    std::shared_ptr<ConnectionHandler> Handler;
    /// The request that is suspended or being resumed; null if there is none.
    std::shared_ptr<ActiveRequest> Request;
    /// Its request was woken while a thread served it.
    bool Woken = false;
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
  TimerQueue *const Timers;
  const std::shared_ptr<ResumeQueue> Resumed;
  Poco::ThreadPool Pool;
  Poco::RunnableAdapter<ConnectionServer> Worker;
  std::mutex Lock;
  std::unordered_map<Id, Port> Ports;
  std::unordered_map<Id, Connection> Connections;
  /// Connections whose request waits for a thread that may block.
  std::deque<Id> NeedThread;
  Id NextId = FirstId;
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

  /// Identify the timers and the queue of resumed requests in the epoll set.
  static constexpr Id TimerId = 0;
  static constexpr Id ResumeId = 1;
  static constexpr Id FirstId = 2;

  ConnectionServer(const Limits &Max, int PollSet, ConnectionCounts &Counts,
                   TimerQueue *Timers, std::shared_ptr<ResumeQueue> Resumed);
  /// Main loop of a thread.
  void runThread();
  /// Starts a thread if none is waiting. The lock must be held.
  /// \returns whether a thread is waiting.
  bool ensureWaiter();
  /// Counts this thread as waiting again. \returns false if it must end.
  bool resumeWaiting();
  void serveEvent(Id Source, bool MayBlock);
  /// Resumes all requests that were woken. They come before the next event, as
  /// a node without processor time to spare would else take on new requests
  /// while earlier ones miss their deadlines.
  void serveResumed();
  /// Resumes requests that need a thread, while another thread waits for
  /// events.
  void serveNeedThread();
  void accept(Id PortId);
  /// Accepts one connection of a port. The lock must be held.
  AcceptResult acceptOne(Port &From);
  /// Resumes the requests that wait for input: in a planned stop their time
  /// limits become shorter. The lock must be held.
  void resumeBodies();
  /// Watches the paused ports again. The lock must be held.
  void resumePorts();
  /// Why a connection is served.
  enum class Cause {
    Event,  ///< Input, or the peer has closed it.
    Wakeup, ///< Its request was woken.
    Thread, ///< A thread that may block is free.
  };
  void serveConnection(Id ConnectionId, Cause Why, bool MayBlock);
  /// Marks a connection as busy. \returns a copy, or nothing if there is
  /// nothing to do for it.
  std::optional<Connection> take(Id ConnectionId, Cause Why);
  /// Stores a connection after it was served, and watches it.
  void putBack(Id ConnectionId, Connection Served, State NextState);
  /// Serves the messages that were received on a connection, or resumes its
  /// request.
  /// \returns its next state, or nothing if it must be closed.
  static std::optional<State> serveInput(Connection &Served, ServeTurn &Turn);
  /// Calls closeExpired if IdleSweepPeriod has passed.
  void sweep();
  /// Logs the counts that have grown since they were last logged. The lock must
  /// be held.
  void logCounts();
  [[nodiscard]] bool isPastLimit(const Connection &Open, Instant Now) const;
  /// Updates the count of open connections. The lock must be held.
  void updateOpenCount();
  /// Adds a descriptor to the epoll set, or enables its next event.
  /// \param Input whether input raises an event, besides the end of the stream.
  void watch(int Descriptor, Id Source, int Operation, bool Input = true) const;
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_CALLERS_CONNECTION_SERVER_H
