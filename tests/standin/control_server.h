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

  /// The query parameter, or \p Default.
  [[nodiscard]] std::string text(const std::string &Name,
                                 const std::string &Default) const;
  [[nodiscard]] double number(const std::string &Name, double Default) const;
};

/// The answer to one.
struct ControlAnswer {
  int Status = 200;
  std::string Body;
  /// Ends the connection without an answer.
  bool Drop = false;
};

using ControlHandler = std::function<ControlAnswer(const ControlRequest &)>;

/// Serves \p Handler over HTTP at \p Where.
std::unique_ptr<Poco::Net::HTTPServer>
startControlServer(const std::string &Where, int Threads,
                   ControlHandler Handler);

/// Blocks until SIGTERM or SIGINT. Call blockStopSignals before any thread
/// starts.
void awaitStop();
void blockStopSignals();

} // namespace siskinstage::standin

#endif // SISKINSTAGE_TESTS_STANDIN_CONTROL_SERVER_H
