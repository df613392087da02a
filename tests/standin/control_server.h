#ifndef SISKINSTAGE_TESTS_STANDIN_CONTROL_SERVER_H
#define SISKINSTAGE_TESTS_STANDIN_CONTROL_SERVER_H

#include "siskinstage/strong_id.h"

#include <Poco/Net/HTTPServer.h>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace siskinstage::standin {

/// A request to a stand-in's control port or to the platform stand-in.
struct ControlRequest {
  std::string Method;
  std::string Path;
  std::map<std::string, std::string> Query;
  std::string Body;

  /// The value of a query parameter, or \p Default if it is absent.
  [[nodiscard]] std::string text(const std::string &Name,
                                 const std::string &Default) const;
  [[nodiscard]] double number(const std::string &Name, double Default) const;
};

/// The response to a ControlRequest.
struct ControlReply {
  int Status = 200;
  std::string Body;
  /// Closes the connection without a response.
  bool CloseConnection = false;
};

using ControlHandler = std::function<ControlReply(const ControlRequest &)>;

/// Starts an HTTP server that passes requests to \p Handler.
/// \param Endpoint   address and port to listen on.
/// \param MaxThreads maximum number of concurrent requests.
std::unique_ptr<Poco::Net::HTTPServer>
startControlServer(const std::string &Endpoint, int MaxThreads,
                   ControlHandler Handler);

/// Waits until SIGTERM or SIGINT. Requires a call of blockStopSignals() before
/// any thread is started.
void waitForStopSignal();
/// Blocks the delivery of SIGTERM and SIGINT to threads, and ignores SIGPIPE.
void blockStopSignals();

} // namespace siskinstage::standin

#endif // SISKINSTAGE_TESTS_STANDIN_CONTROL_SERVER_H
