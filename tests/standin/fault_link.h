#ifndef SISKINSTAGE_TESTS_STANDIN_FAULT_LINK_H
#define SISKINSTAGE_TESTS_STANDIN_FAULT_LINK_H

#include "standin/fault_rule.h"

#include <Poco/Net/StreamSocket.h>
#include <atomic>
#include <cstdint>
#include <string>

namespace siskinstage::standin {

/// One proxied address: connections to \p Listen go on to \p Forward, with a
/// rule for each direction.
class FaultLink {
public:
  FaultLink(std::string Listen, std::string Forward);

  /// Serves TCP until the process ends.
  void runTcp();
  /// Serves UDP until the process ends.
  void runUdp();
  /// Sets the rule of direction "up" (towards Forward), "down" or "both".
  void set(const ControlRequest &Asked);

private:
  std::string Listen;
  std::string Forward;
  FaultRule Up;
  FaultRule Down;
  std::atomic<std::uint64_t> NextConnection{1};

  void serve(Poco::Net::StreamSocket Near, std::uint64_t Number);
  void pump(Poco::Net::StreamSocket From, Poco::Net::StreamSocket To,
            const FaultRule &Rule, std::uint64_t Number);
};

} // namespace siskinstage::standin

#endif // SISKINSTAGE_TESTS_STANDIN_FAULT_LINK_H
