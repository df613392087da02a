#ifndef SISKINSTAGE_NODE_CALLERS_PAGE_PORT_H
#define SISKINSTAGE_NODE_CALLERS_PAGE_PORT_H

#include "node/callers/connection_handler.h"

#include <functional>
#include <string>

namespace siskinstage {

/// A page as an HTTP response.
struct Page {
  int Status = 200;
  std::string ContentType = "text/plain; charset=utf-8";
  std::string Body;
};

/// Serves pages that are rendered without blocking. Closes the connection after
/// a request with a body, which it does not read.
class PagePort : public ConnectionHandler {
public:
  /// \param Renderer returns the page for the path and query of a request; a
  ///        Poco::Exception that it throws results in status 400.
  explicit PagePort(std::function<Page(const std::string &Uri)> Renderer)
      : Renderer(std::move(Renderer)) {}

  Next serve(TcpConnection &Peer, ServeTurn &Turn) override;
  void closeOverdue(TcpConnection &Peer) override;
  [[nodiscard]] Duration headTimeout() const override;
  [[nodiscard]] Duration idleTimeout(bool Draining) const override;

private:
  std::function<Page(const std::string &Uri)> Renderer;

  [[nodiscard]] Page render(const std::string &Uri) const;
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_CALLERS_PAGE_PORT_H
