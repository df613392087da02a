#ifndef SISKINSTAGE_NODE_REQUESTS_OPEN_REQUESTS_H
#define SISKINSTAGE_NODE_REQUESTS_OPEN_REQUESTS_H

#include "siskinstage/strong_id.h"
#include "siskinstage/units.h"

#include <atomic>
#include <mutex>
#include <string>
#include <unordered_set>

namespace siskinstage {

class RequestProgress;

/// The requests of callers that have not ended. Thread-safe.
class OpenRequests {
public:
  [[nodiscard]] std::size_t count();
  /// Logs each request, with how far it has come.
  /// \param What follows the id of the request in the message.
  void log(const std::string &What);

private:
  friend class RequestProgress;
  std::mutex Lock;
  std::unordered_set<const RequestProgress *> Open;
};

/// How far one request has come. It is listed in OpenRequests while it exists.
class RequestProgress {
public:
  enum class Stage {
    Body,       ///< Its body is read.
    Slot,       ///< It waits for a slot at a target or for a retry.
    Thread,     ///< It waits for a thread.
    AtTarget,   ///< It is sent to a target, or waits for the response.
    AtKeyOwner, ///< It waits for the node or the request that has its key.
    Response,   ///< Its response is sent.
  };

  RequestProgress(OpenRequests &All, RequestId Id, Instant Arrived);
  ~RequestProgress();
  RequestProgress(const RequestProgress &) = delete;
  RequestProgress &operator=(const RequestProgress &) = delete;

  /// Called by the thread that serves the request.
  void reach(Stage Next);

private:
  friend class OpenRequests;
  OpenRequests &All;
  const RequestId Id;
  const Instant Arrived;
  std::atomic<Stage> Current{Stage::Body};
  std::atomic<Instant> Since; ///< Start of the stage.
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_REQUESTS_OPEN_REQUESTS_H
