#ifndef SISKINSTAGE_NODE_RESPONSE_WRITER_H
#define SISKINSTAGE_NODE_RESPONSE_WRITER_H

#include "core/stored_response.h"
#include "net/http_io.h"
#include "node/caller_request.h"
#include "node/refusal.h"
#include "siskinstage/config.h"

namespace siskinstage {

/// Writes the one answer of a request to its caller.
class ResponseWriter {
public:
  ResponseWriter(TcpConnection &Caller, const CallerRequest &Request,
                 const Dialect &Speak = DefaultDialect);
  /// For a request that could not be read.
  /// \param WriteTime how long the caller may take to read a part.
  ResponseWriter(TcpConnection &Caller, RequestId Id, const Dialect &Speak,
                 Duration WriteTime);

  void sendRefusal(const Refusal &Refused);
  void sendComplete(const StoredResponse &Answer);
  /// Starts a longer answer. \param Length its length, if the target told it.
  void sendHead(const StoredResponse &Head,
                std::optional<std::uint64_t> Length);
  /// \returns false if the caller has gone.
  bool sendPart(std::string_view Data);
  void finish();
  /// Ends the connection, so that the caller sees that the answer is cut.
  void abort();

  /// From now on only what the system takes at once is written; a caller that
  /// left no room for it loses its connection.
  void disableWaiting() { this->WriteTime = Duration::zero(); }
  /// The connection ends after this answer.
  void closeAfter() { this->Close = true; }
  [[nodiscard]] bool closes() const { return this->Close; }
  [[nodiscard]] int status() const { return this->Status; }

private:
  TcpConnection &Caller;
  const Dialect &Speak;
  RequestId Id;
  bool Http10 = false;
  bool HeadOnly = false;
  bool Keyed = false;
  bool Close = false;
  bool Chunked = false;
  int Status = 0;
  Duration WriteTime = config::CallerWriteTimeout;

  Poco::Net::HTTPResponse headOf(const StoredResponse &Answer);
  [[nodiscard]] std::string secondsText(Duration Length) const;
  void send(std::string_view Bytes);
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_RESPONSE_WRITER_H
