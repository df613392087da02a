#ifndef SISKINSTAGE_TESTS_STANDIN_TARGET_SERVER_H
#define SISKINSTAGE_TESTS_STANDIN_TARGET_SERVER_H

#include "net/http_io.h"
#include "standin/target_behaviour.h"
#include "standin/target_ledger.h"

#include <Poco/Net/ServerSocket.h>
#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace siskinstage::standin {

/// One target: slots, a connection limit, drain, shed, deadline, cancel, and
/// the faults of its behaviour.
class TargetServer {
public:
  struct Stats {
    std::atomic<std::uint64_t> Requests{0};
    std::atomic<std::uint64_t> Shed{0};
    std::atomic<std::uint64_t> Cancelled{0};
    std::atomic<std::uint64_t> Crashes{0};
    std::atomic<std::uint64_t> WorkWhileLeaving{0};
    std::atomic<std::uint64_t> Probes{0};
    std::atomic<std::int64_t> LastWorkMs{0}; ///< On the boot clock.
    std::atomic<std::int64_t> LeavingSinceMs{0};
  };

  TargetServer(std::string Where, std::uint32_t Slots, std::uint32_t Limit,
               TargetLedger &Ledger);

  /// Serves until the process ends.
  void run();
  TargetBehaviour &behaviour() { return this->Behaviour; }
  std::string statsText() const;
  /// Times at which work began, in milliseconds on the boot clock, as a JSON
  /// array; forgets them.
  std::string takeWorkTimes();
  void setLeaving(bool Leaving);

private:
  std::string Where;
  std::uint32_t Slots;
  std::uint32_t ConnectionLimit;
  TargetLedger &Ledger;
  TargetBehaviour Behaviour;
  Stats Counts;
  std::mutex TimesLock;
  std::vector<std::int64_t> WorkTimes;
  std::atomic<std::uint32_t> InFlight{0};
  std::atomic<std::uint32_t> Connections{0};
  /// Goes up with each crash; connections of an older life end.
  std::atomic<std::uint64_t> Life{1};
  std::atomic<bool> Down{false};
  std::atomic<std::int64_t> StartedNs{0};

  /// What is known of one request while it is served.
  struct Work {
    Poco::Net::HTTPRequest Head;
    std::string Body;
    std::string Name;
    std::uint64_t Life = 0;
  };

  void accept(Poco::Net::ServerSocket &Socket);
  void serveConnection(Wire &Peer, std::uint64_t OwnLife);
  bool serveOne(Wire &Peer, std::uint64_t OwnLife);
  bool serveWork(Wire &Peer, Work &Asked);
  bool runWork(Wire &Peer, Work &Asked);
  bool answerWork(Wire &Peer, const Work &Asked);
  bool pause(Wire &Peer, std::uint64_t OwnLife, double Micros);
  bool hits(const std::atomic<double> &Share);
  void crash();
  bool refuse(Wire &Peer, const Work &Asked);
  bool send(Wire &Peer, Poco::Net::HTTPResponse &Head, const std::string &Body);
};

} // namespace siskinstage::standin

#endif // SISKINSTAGE_TESTS_STANDIN_TARGET_SERVER_H
