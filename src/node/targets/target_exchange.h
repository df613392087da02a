#ifndef SISKINSTAGE_NODE_TARGETS_TARGET_EXCHANGE_H
#define SISKINSTAGE_NODE_TARGETS_TARGET_EXCHANGE_H

#include "core/requests/attempt.h"
#include "core/requests/stored_response.h"
#include "core/targets/target_notice.h"
#include "node/callers/request_body.h"
#include "node/dialect.h"
#include "node/targets/connection_pool.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <functional>
#include <optional>
#include <string>

namespace siskinstage {

/// Request and limits of one attempt.
struct ExchangeParams {
  Poco::Net::HTTPRequest Head; ///< Head without framing headers.
  RequestBody *Body = nullptr;
  RequestId Id;
  TargetId Target; ///< Target that must respond; empty for any.
  const Dialect *HeaderDialect = &DefaultDialect;
  Instant Deadline;
  bool RequireEcho = false; ///< Responses must contain the request id.
  /// Watched while waiting, so that the attempt is cancelled when the caller
  /// disconnects; null if it continues without its caller.
  const TcpConnection *Caller = nullptr;
  /// If no response head was received after this time, OnOverdue is called, and
  /// again every config::OverduePollPeriod; zero for never.
  Duration OverdueAfter{};
  /// \returns whether to set the attempt aside; it can be resumed.
  std::function<bool()> OnOverdue;
  /// When a streamed response is cut off; none if neither the caller nor the
  /// route set a time limit. Without one, config::BodyStallTimeout limits the
  /// time without progress.
  std::optional<Instant> StreamDeadline;
  /// Ends the attempt when it becomes readable, until a streamed response has
  /// begun; see TcpConnection::endWaitsBy().
  int WaitsEnd = -1;
};

/// How one attempt failed.
struct ExchangeFailure {
  AttemptFailure Attempt;
  bool CallerGone = false; ///< Caller disconnected or body incomplete.
  bool TimedOut = false;
  bool SetAside = false;   ///< It was overdue and may be resumed.
  bool StaleReuse = false; ///< A reused connection failed before any response.
  std::optional<HttpRefusal> BodyFault; ///< Fault of the request body.
  bool ShuttingDown = false;            ///< Ended by ExchangeParams::WaitsEnd.
};

template <typename T> using ExchangeResult = tl::expected<T, ExchangeFailure>;

/// One attempt of a request on one connection: sends the request and reads the
/// response.
class TargetExchange {
public:
  TargetExchange(PooledConnection Pooled, ExchangeParams Params);

  /// Sends the request and reads the response head.
  ExchangeResult<void> run();
  /// Reads the response head after the attempt was overdue and set aside.
  ExchangeResult<void> resume();
  /// Whether resume() would find a response or the end of the connection.
  [[nodiscard]] bool hasInput() const {
    return this->Pooled.Connection.hasInput();
  }
  /// Reads the response body until it is complete or \p MaxBytes are buffered.
  ExchangeResult<void> bufferBody(std::size_t MaxBytes);
  /// Reads the next part of the body after the buffered one, whose head has
  /// been passed on; empty at its end.
  ExchangeResult<std::string> nextPart();

  /// Whether the complete response was read.
  [[nodiscard]] bool complete() const { return this->Reader->done(); }
  /// The response, with the part of its body that is buffered.
  [[nodiscard]] StoredResponse &response() { return this->Response; }
  /// Length of the response body, if the target stated it.
  [[nodiscard]] std::optional<std::uint64_t> length() const;
  /// Whether the target marked the response as not run.
  [[nodiscard]] bool isNotRun() const { return this->NotRun; }
  /// Requests in flight at the target, if it reported them.
  [[nodiscard]] std::optional<std::uint32_t> reportedInFlight() const {
    return this->InFlight;
  }
  /// What the target states about the requests that it accepts.
  [[nodiscard]] const StatedNotices &notices() const { return this->Notices; }
  [[nodiscard]] bool reused() const { return this->Pooled.Reused; }
  /// Whether a part of the caller's body was not read.
  [[nodiscard]] bool isRequestBodyUnread() const {
    return !this->Params.Body->complete();
  }
  /// For a request to another node, whose response has a request id of its own.
  void ignoreRequestId() { this->CheckRequestId = false; }
  /// Adds the outcome header that the response had to response(): that of
  /// another node is returned to the caller unchanged.
  void restoreOutcomeHeader();
  /// Returns the connection to \p Pool if it may be reused, else closes it.
  void finish(ConnectionPool &Pool);

private:
  PooledConnection Pooled;
  ExchangeParams Params;
  std::size_t Sent = 0;        ///< Bytes of the request.
  bool RequestWritten = false; ///< To its end.
  Poco::Net::HTTPResponse Head;
  BodyFraming Framing;
  std::optional<BodyReader> Reader;
  StoredResponse Response;
  bool NotRun = false;
  bool Reusable = false;
  bool Finished = false;
  bool SetAside = false; ///< By OnOverdue.
  bool CheckRequestId = true;
  std::string OutcomeText; ///< Value of the outcome header, if any.
  std::optional<std::uint32_t> InFlight;
  StatedNotices Notices;

  ExchangeResult<void> send();
  ExchangeResult<void> sendRest(bool Chunked);
  ExchangeResult<void> readResponseHead();
  /// Reads the lines of a response head. Calls OnOverdue while it is overdue.
  ReadResult<std::string> awaitResponseHead(Instant Limit);
  ExchangeResult<void> parseHead(const std::string &Lines);
  /// Whether the response head has the id of another request.
  [[nodiscard]] bool isForOtherRequest() const;
  /// Reads and discards the rest of a response to an earlier request.
  ExchangeResult<void> skipOtherResponse(Instant Limit);
  /// Whether the response, such as "103 Early Hints", precedes the final one.
  [[nodiscard]] bool isInterim() const;
  /// Why the response must not be used, or an empty string.
  [[nodiscard]] std::string findHeadFault() const;
  void readTargetHeaders();
  void readLoad();
  ExchangeFailure failure(AttemptFailure::Kind Cause, const ReadFault &Fault);
  /// Whether the fault is that of a reused connection, not of the target.
  [[nodiscard]] bool isStale(const ExchangeFailure &Failed) const;
  ExchangeFailure requestBodyFailure(const ReadFault &Fault);
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_TARGETS_TARGET_EXCHANGE_H
