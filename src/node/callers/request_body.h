#ifndef SISKINSTAGE_NODE_CALLERS_REQUEST_BODY_H
#define SISKINSTAGE_NODE_CALLERS_REQUEST_BODY_H

#include "net/http_io.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

struct XXH3_state_s;

namespace siskinstage {

class DrainState;

/// The body of a caller's request. Its first part is kept in a replay buffer,
/// so that the request can be sent again; the rest of a longer body is
/// streamed.
class RequestBody {
public:
  /// \param ExpectContinue the caller waits for "100 Continue".
  /// \param Deadline no further part is read after it.
  /// \param Drain may end the reading sooner.
  RequestBody(TcpConnection &Caller, const BodyFraming &Framing,
              bool ExpectContinue, Instant Deadline, const DrainState &Drain);
  ~RequestBody();
  RequestBody(const RequestBody &) = delete;
  RequestBody &operator=(const RequestBody &) = delete;

  /// Replaces the deadline, when that of the route is known.
  void setDeadline(Instant Deadline) { this->BodyDeadline = Deadline; }
  /// Reads until the body is complete or the replay buffer is full.
  ReadResult<void> fillReplayBuffer();
  /// Reads what has been received, without waiting for more.
  /// \returns whether the body is complete or the replay buffer is full; the
  ///          fault Timeout if the caller has sent too little in time.
  ReadResult<bool> fillAvailable();
  /// When fillAvailable() fails if no more input is received.
  [[nodiscard]] Instant inputLimit() const;
  /// Reads the next part after the replay buffer. \returns an empty part at the
  /// end.
  ReadResult<std::string> next();
  /// Reads and discards the rest of the body; only its hash is used.
  ReadResult<void> drain();

  [[nodiscard]] const std::string &replayBuffer() const {
    return this->ReplayBuffer;
  }
  /// Whether the body was read to its end.
  [[nodiscard]] bool complete() const { return this->Reader.done(); }
  /// Whether the replay buffer has the complete body.
  [[nodiscard]] bool replayable() const;
  /// Returns the length in bytes, if it is stated or the body is complete.
  [[nodiscard]] std::optional<std::uint64_t> length() const;
  /// Returns the hash of the bytes read so far.
  [[nodiscard]] std::uint64_t hash() const;

private:
  /// Frees the state of the hash.
  struct HashDeleter {
    void operator()(XXH3_state_s *State) const;
  };

  TcpConnection &Caller;
  BodyFraming Framing;
  BodyReader Reader;
  bool ContinueDue; ///< "100 Continue" is still to be sent.
  Instant BodyDeadline;
  const DrainState &Drain;
  Instant LastInput; ///< When fillAvailable() last read something.
  std::string ReplayBuffer;
  std::uint64_t Total = 0; ///< Bytes read so far.
  std::unique_ptr<XXH3_state_s, HashDeleter> Hash;

  /// Sends "100 Continue" if it is due.
  ReadResult<void> sendContinue(Instant Limit);
  /// Accounts for the bytes of \p Into from \p Before on, which were read.
  ReadResult<void> addRead(const std::string &Into, std::size_t Before);
  [[nodiscard]] bool isReplayBufferFull() const;
  /// Reads the next bytes of the body and appends them to \p Into.
  ReadResult<void> readInto(std::string &Into);
  /// Waits for the next bytes of the body until \p StallLimit or its deadline.
  ReadResult<void> awaitBytes(std::string &Into, Instant StallLimit);
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_CALLERS_REQUEST_BODY_H
