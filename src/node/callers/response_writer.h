#ifndef SISKINSTAGE_NODE_CALLERS_RESPONSE_WRITER_H
#define SISKINSTAGE_NODE_CALLERS_RESPONSE_WRITER_H

#include "core/requests/stored_response.h"
#include "net/http_io.h"
#include "node/callers/caller_request.h"
#include "node/requests/refusal.h"
#include "siskinstage/config.h"

namespace siskinstage {

class DrainState;

/// Sends the response of one request to its caller.
class ResponseWriter {
public:
  /// \param Drain while it is active, the connection closes after the response.
  ResponseWriter(TcpConnection &Caller, const CallerRequest &Request,
                 const Dialect &HeaderDialect, const DrainState &Drain);
  /// For a request whose head could not be read.
  /// \param WriteTime time limit for the caller to accept one write.
  ResponseWriter(TcpConnection &Caller, RequestId Id,
                 const Dialect &HeaderDialect, Duration WriteTime);

  /// Sends the response for a rejected request.
  void sendRefusal(const Refusal &Refused);
  /// Sends a response whose body is known.
  void sendComplete(const StoredResponse &Response);
  /// Sends the head of a response whose body follows in parts.
  /// \param Length length of the body in bytes, if the target stated it.
  void sendHead(const StoredResponse &Head,
                std::optional<std::uint64_t> Length);
  /// Sends a part of the body. \returns false if the caller did not accept it:
  /// it has gone or is too slow.
  bool sendPart(std::string_view Data);
  /// Ends a body that was sent in parts.
  void finish();
  /// Resets the connection, so that the caller notices that the response is
  /// truncated.
  void abort();

  /// Sets whether later writes may wait. If not, the connection is closed where
  /// the send buffer of the socket has no room.
  void allowWaiting(bool MayBlock) {
    this->WriteTime =
        MayBlock ? Duration(config::CallerWriteTimeout) : Duration::zero();
  }
  /// Sets the time limit for the caller to accept one write.
  void setWriteTime(Duration Limit) { this->WriteTime = Limit; }
  /// Closes the connection after this response.
  void closeAfter() { this->Close = true; }
  /// Whether the connection closes after this response.
  [[nodiscard]] bool closes() const { return this->Close; }
  /// Returns the status of the response, 0 if none was sent.
  [[nodiscard]] int status() const { return this->Status; }

private:
  TcpConnection &Caller;
  const Dialect &HeaderDialect;
  const DrainState *Drain = nullptr;
  RequestId Id;
  bool Http10 = false;
  bool HeadOnly = false;
  bool Keyed = false; ///< The request has an idempotency key.
  bool Close = false;
  bool Chunked = false;
  int Status = 0;
  Duration WriteTime = config::CallerWriteTimeout;

  Poco::Net::HTTPResponse headOf(const StoredResponse &Response);
  /// Formats \p Delay for Retry-After.
  [[nodiscard]] std::string secondsText(Duration Delay) const;
  void send(std::string_view Bytes);
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_CALLERS_RESPONSE_WRITER_H
