#ifndef SISKINSTAGE_TESTS_STANDIN_FAULT_LINK_H
#define SISKINSTAGE_TESTS_STANDIN_FAULT_LINK_H

#include "standin/fault_rule.h"

#include <Poco/Net/StreamSocket.h>
#include <atomic>
#include <cstdint>
#include <string>

namespace siskinstage::standin {

/// A proxied network link: relays connections or datagrams from one address to
/// another and applies a fault rule in each direction.
class FaultLink {
public:
  /// \param ListenAddress  address and port to listen on.
  /// \param ForwardAddress address and port to relay to.
  FaultLink(std::string ListenAddress, std::string ForwardAddress);

  /// Serves TCP until the process ends.
  void runTcp();
  /// Serves UDP until the process ends.
  void runUdp();
  /// Updates the rules of the request's direction: "up" (towards
  /// ForwardAddress), "down" or "both".
  void updateRules(const ControlRequest &Request);

private:
  std::string ListenAddress;
  std::string ForwardAddress;
  FaultRule Up;
  FaultRule Down;
  std::atomic<std::uint64_t> NextConnection{1};

  void serveConnection(Poco::Net::StreamSocket Client,
                       std::uint64_t ConnectionNumber);
  /// Copies the bytes of one direction until the connection ends.
  void relay(Poco::Net::StreamSocket From, Poco::Net::StreamSocket To,
             const FaultRule &Rule, std::uint64_t ConnectionNumber);
};

} // namespace siskinstage::standin

#endif // SISKINSTAGE_TESTS_STANDIN_FAULT_LINK_H
