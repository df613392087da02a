#ifndef SISKINSTAGE_TESTS_STANDIN_TARGET_SERVER_H
#define SISKINSTAGE_TESTS_STANDIN_TARGET_SERVER_H

#include "net/http_io.h"
#include "standin/target_behaviour.h"
#include "standin/target_ledger.h"
#include "standin/time_log.h"

#include <Poco/Net/ServerSocket.h>
#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace siskinstage::standin {

/// A target stand-in. It limits concurrent requests and connections, sheds
/// requests above the limit, observes deadlines, notices cancelled requests,
/// announces that it drains, and simulates the faults of its TargetBehaviour.
class TargetServer {
public:
  /// Counters; times are on the boot clock.
  struct Stats {
    std::atomic<std::uint64_t> Requests{0};
    std::atomic<std::uint64_t> Shed{0};
    std::atomic<std::uint64_t> Cancelled{0}; ///< Peer disconnected during work.
    std::atomic<std::uint64_t> Crashes{0};
    std::atomic<std::uint64_t> WorkWhileLeaving{0};
    std::atomic<std::uint64_t> Probes{0};
    std::atomic<std::int64_t> LastWorkMs{0};
    std::atomic<std::int64_t> LeavingSinceMs{0}; ///< 0 while not leaving.
  };

  /// \param Endpoint        address and port to listen on.
  /// \param Slots           maximum number of concurrent requests.
  /// \param ConnectionLimit maximum number of connections.
  TargetServer(std::string Endpoint, std::uint32_t Slots,
               std::uint32_t ConnectionLimit, TargetLedger &Ledger);

  /// Serves until the process ends.
  void run();
  TargetBehaviour &behaviour() { return this->Behaviour; }
  /// The counters as a JSON object.
  std::string statsJson() const;
  /// Returns the start times of work as a JSON array, in milliseconds on the
  /// boot clock, and clears them.
  std::string takeWorkTimes() { return this->WorkTimes.take(); }
  /// The same for all requests that arrived, including those that were shed.
  std::string takeArrivalTimes() { return this->ArrivalTimes.take(); }
  /// Starts or ends draining, and resets WorkWhileLeaving.
  void setLeaving(bool Leaving);

private:
  std::string Endpoint;
  std::uint32_t Slots;
  std::uint32_t ConnectionLimit;
  TargetLedger &Ledger;
  TargetBehaviour Behaviour;
  Stats Counts;
  TimeLog WorkTimes;
  TimeLog ArrivalTimes;
  std::atomic<std::uint32_t> InFlight{0};
  std::atomic<std::uint32_t> Connections{0};
  /// Incremented at each crash; connections of an earlier generation are
  /// closed.
  std::atomic<std::uint64_t> Generation{1};
  std::atomic<bool> Down{false};
  std::atomic<std::int64_t> StartedNs{0};

  /// A request while it is served.
  struct WorkRequest {
    Poco::Net::HTTPRequest Head;
    std::string Body;
    std::string WorkId;
    std::uint64_t Generation = 0; ///< Of its connection.
  };

  void acceptConnections(Poco::Net::ServerSocket &Socket);
  void serveConnection(TcpConnection &Peer, std::uint64_t ConnectionGeneration);
  /// Reads and serves one request. \returns whether the connection stays open,
  /// as the functions do that serve parts of the request.
  bool serveRequest(TcpConnection &Peer, std::uint64_t ConnectionGeneration);
  bool serveWork(TcpConnection &Peer, WorkRequest &Request);
  bool runWork(TcpConnection &Peer, WorkRequest &Request);
  bool sendWorkResponse(TcpConnection &Peer, const WorkRequest &Request);
  /// Waits for \p DurationUs. \returns false after a crash or cancellation.
  bool simulateWork(TcpConnection &Peer, std::uint64_t ConnectionGeneration,
                    double DurationUs);
  /// \returns true with the given probability.
  bool draw(const std::atomic<double> &Probability);
  /// Closes the port and all connections until the restart after DownMs.
  void crash();
  /// Rejects the request as not run.
  bool shed(TcpConnection &Peer, const WorkRequest &Request);
  bool send(TcpConnection &Peer, Poco::Net::HTTPResponse &Head,
            const std::string &Body);
};

} // namespace siskinstage::standin

#endif // SISKINSTAGE_TESTS_STANDIN_TARGET_SERVER_H
