#ifndef SISKINSTAGE_NODE_PAGE_PORT_H
#define SISKINSTAGE_NODE_PAGE_PORT_H

#include "node/connection_handler.h"

#include <functional>
#include <string>

namespace siskinstage {

/// What a page holds.
struct Page {
  int Status = 200;
  std::string ContentType = "text/plain; charset=utf-8";
  std::string Body;
};

/// A port whose answers are ready at once: it takes requests without a body.
class PagePort : public ConnectionHandler {
public:
  /// \param PageFor called with the path and query that are asked for; may
  ///        throw, which is answered with 400.
  explicit PagePort(std::function<Page(const std::string &Uri)> PageFor)
      : PageFor(std::move(PageFor)) {}

  Next serve(Wire &Peer, bool LastThread) override;
  void endLate(Wire &Peer) override;
  [[nodiscard]] Duration headLimit() const override;
  [[nodiscard]] Duration idleLimit(bool Draining) const override;

private:
  std::function<Page(const std::string &Uri)> PageFor;

  [[nodiscard]] Page pageFor(const std::string &Uri) const;
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_PAGE_PORT_H
