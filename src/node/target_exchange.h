#ifndef SISKINSTAGE_NODE_TARGET_EXCHANGE_H
#define SISKINSTAGE_NODE_TARGET_EXCHANGE_H

#include "core/attempt.h"
#include "core/stored_response.h"
#include "node/connection_pool.h"
#include "node/dialect.h"
#include "node/request_body.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <functional>
#include <optional>
#include <string>

namespace siskinstage {

/// What one try sends, and how long it may take.
struct ExchangeOrder {
  Poco::Net::HTTPRequest Head; ///< Without framing headers.
  RequestBody *Body = nullptr;
  RequestId Id;
  TargetId Target; ///< Who is expected to answer; empty for anyone.
  const Dialect *Speak = &OwnDialect;
  Instant Deadline;
  bool RequireEcho = false;
  /// Watched while waiting, so that the work can be cancelled; null if the
  /// work goes on without its caller.
  const Wire *Caller = nullptr;
  /// If no answer has begun after this time, OnOverdue is called, and again
  /// every config::OverduePollPeriod; zero for never.
  Duration OverdueAfter{};
  /// \returns whether the try is to be given up.
  std::function<bool()> OnOverdue;
  /// When a long answer is broken off, however it goes on; none where nobody
  /// has said how long it may take.
  std::optional<Instant> StreamEnd;
};

/// How one try failed.
struct ExchangeFailure {
  AttemptFailure Attempt;
  bool CallerGone = false; ///< The caller went away or broke its body.
  bool TimedOut = false;
  bool GivenUp = false;    ///< It was overdue and another try is made.
  bool StaleReuse = false; ///< A connection used before gave no byte.
  std::optional<HttpRefusal> BodyFault; ///< What was wrong with its body.
};

template <typename T> using ExchangeResult = tl::expected<T, ExchangeFailure>;

/// One try of a request on one connection: sends it and reads the answer.
class TargetExchange {
public:
  TargetExchange(PooledConnection Taken, ExchangeOrder Order);

  /// Sends the request and reads the answer's head.
  ExchangeResult<void> run();
  /// Reads the answer's body until it is whole or \p MaxBytes are held.
  ExchangeResult<void> holdBody(std::size_t MaxBytes);
  /// Reads the next part of the body behind the held one; empty at its end.
  ExchangeResult<std::string> nextPart();

  [[nodiscard]] bool whole() const { return this->Reader->done(); }
  /// The answer, with the part of its body that is held.
  [[nodiscard]] StoredResponse &answer() { return this->Answer; }
  [[nodiscard]] std::optional<std::uint64_t> length() const;
  /// The target refused the request with its own not-run mark.
  [[nodiscard]] bool saidNotRun() const { return this->NotRun; }
  [[nodiscard]] bool saidLeaving() const { return this->Leaving; }
  [[nodiscard]] std::optional<std::uint32_t> reportedInFlight() const {
    return this->InFlight;
  }
  [[nodiscard]] bool reused() const { return this->Taken.Reused; }
  /// The caller's body was left unread.
  [[nodiscard]] bool bodyLeft() const { return !this->Order.Body->whole(); }
  /// For an answer of another node: its request id is its own.
  void ignoreEcho() { this->CheckEcho = false; }
  /// Puts an answering node's own headers back into the answer.
  void restoreOwnHeaders();
  /// Hands the connection back if it may be used again, else closes it.
  void finish(ConnectionPool &Pool);

private:
  PooledConnection Taken;
  ExchangeOrder Order;
  std::size_t Sent = 0;
  Poco::Net::HTTPResponse Head;
  BodyFraming Framing;
  std::optional<BodyReader> Reader;
  StoredResponse Answer;
  bool NotRun = false;
  bool Leaving = false;
  bool Reusable = false;
  bool Finished = false;
  bool GivenUp = false; ///< OnOverdue has ended the try.
  bool CheckEcho = true;
  std::string OutcomeText; ///< Value of Siskinstage-Outcome, if any.
  std::optional<std::uint32_t> InFlight;

  ExchangeResult<void> send();
  ExchangeResult<void> sendRest(bool Chunked);
  ExchangeResult<void> readAnswerHead();
  /// Reads the head's lines; says so when it is overdue, and waits on.
  ReadResult<std::string> awaitHead(Instant Limit);
  ExchangeResult<void> takeHead(const std::string &Lines);
  /// Whether the answer's head names another request.
  [[nodiscard]] bool isForeign() const;
  /// Reads an answer to an earlier request to its end and drops it.
  ExchangeResult<void> skipForeign(Instant Limit);
  /// What is wrong with the answer as a whole; empty for nothing.
  [[nodiscard]] std::string headFault() const;
  void readTargetHeaders();
  void readLoad();
  ExchangeFailure failure(AttemptFailure::Kind What, const ReadFault &Fault);
  /// Whether a connection used before is to blame, not the target.
  [[nodiscard]] bool isStale(const ExchangeFailure &Failed) const;
  ExchangeFailure bodyFailure(const ReadFault &Fault);
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_TARGET_EXCHANGE_H
