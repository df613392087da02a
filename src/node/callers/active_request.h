#ifndef SISKINSTAGE_NODE_CALLERS_ACTIVE_REQUEST_H
#define SISKINSTAGE_NODE_CALLERS_ACTIVE_REQUEST_H

#include "node/callers/connection_handler.h"

namespace siskinstage {

/// A request that was started on a connection and waits without a thread. Its
/// server owns it until it has ended.
class ActiveRequest {
public:
  virtual ~ActiveRequest() = default;
  /// Continues the request on a thread of the server. It may be called although
  /// nothing has changed. No two threads call it at a time.
  /// \param MayBlock see ServeTurn::MayBlock.
  /// \returns the state of the connection; not Incomplete.
  virtual ConnectionHandler::Next resume(bool MayBlock) = 0;
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_CALLERS_ACTIVE_REQUEST_H
