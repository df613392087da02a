#ifndef SISKINSTAGE_NODE_REQUEST_BODY_H
#define SISKINSTAGE_NODE_REQUEST_BODY_H

#include "net/http_io.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

struct XXH3_state_s;

namespace siskinstage {

/// The body of a caller's request. Its first part is held, so that the request
/// can be sent again; what is longer is passed on as it comes.
class RequestBody {
public:
  /// \param ExpectContinue the caller waits for "100 Continue".
  /// \param Limit after it no further part is read.
  RequestBody(TcpConnection &Caller, const BodyFraming &Framing,
              bool ExpectContinue, Instant Limit);
  ~RequestBody();
  RequestBody(const RequestBody &) = delete;
  RequestBody &operator=(const RequestBody &) = delete;

  /// Sets another limit, as soon as more is known than the caller's own.
  void setDeadline(Instant Limit) { this->Limit = Limit; }
  /// Reads until the body is whole or the held part is at its limit.
  ReadResult<void> fillReplayBuffer();
  /// Reads the next part behind the held one; empty at the end.
  ReadResult<std::string> next();
  /// Reads and drops what is left, for its hash alone.
  ReadResult<void> drain();

  [[nodiscard]] const std::string &replayBuffer() const { return this->Held; }
  /// Whether the whole body was read.
  [[nodiscard]] bool complete() const { return this->Reader.done(); }
  /// Whether all of the body is held.
  [[nodiscard]] bool replayable() const;
  /// Its length, as far as known before its end.
  [[nodiscard]] std::optional<std::uint64_t> length() const;
  /// Hash of all that was read so far.
  [[nodiscard]] std::uint64_t hash() const;

private:
  /// Frees the hash's state.
  struct HashDeleter {
    void operator()(XXH3_state_s *State) const;
  };

  TcpConnection &Caller;
  BodyFraming Framing;
  BodyReader Reader;
  bool ContinueDue;
  Instant Limit;
  std::string Held;
  std::uint64_t Total = 0;
  std::unique_ptr<XXH3_state_s, HashDeleter> Hash;

  ReadResult<void> readInto(std::string &Into);
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_REQUEST_BODY_H
