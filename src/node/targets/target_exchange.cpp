#include "node/targets/target_exchange.h"
#include "net/boot_time.h"
#include "node/targets/notice_fields.h"
#include "siskinstage/config.h"

#include <Poco/NumberParser.h>
#include <Poco/StringTokenizer.h>
#include <algorithm>

namespace siskinstage {

namespace {

using Kind = AttemptFailure::Kind;

/// Whether \p Status states that the request was not run, in a dialect with
/// StatusImpliesNotRun.
bool promisesNotRun(int Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

/// Sum of running and waiting requests, from "running,waiting,slots".
std::optional<unsigned> parseLoad(const std::string &Text) {
  const Poco::StringTokenizer Parts(Text, ",", Poco::StringTokenizer::TOK_TRIM);
  unsigned Running = 0;
  unsigned Waiting = 0;
  if (Parts.count() != 3 ||
      !Poco::NumberParser::tryParseUnsigned(Parts[0], Running) ||
      !Poco::NumberParser::tryParseUnsigned(Parts[1], Waiting))
    return std::nullopt;
  return Running + Waiting;
}

bool wantsClose(const Poco::Net::HTTPResponse &Head) {
  return !Head.getKeepAlive();
}

} // namespace

TargetExchange::TargetExchange(PooledConnection Pooled, ExchangeParams Params)
    : Pooled(std::move(Pooled)), Params(std::move(Params)) {
  this->Pooled.Connection.endWaitsBy(this->Params.WaitsEnd);
}

ExchangeFailure TargetExchange::failure(Kind Cause, const ReadFault &Fault) {
  ExchangeFailure Failed;
  Failed.Attempt = {Cause, this->Sent > 0, readFaultText(Fault)};
  if (const auto *Broken = std::get_if<ConnectionFault>(&Fault)) {
    Failed.CallerGone = Broken->Cause == ConnectionFault::Kind::Cancelled;
    Failed.ShuttingDown = Broken->Cause == ConnectionFault::Kind::Interrupted;
    Failed.TimedOut =
        Broken->Cause == ConnectionFault::Kind::Timeout || Failed.ShuttingDown;
  }
  return Failed;
}

ExchangeFailure TargetExchange::requestBodyFailure(const ReadFault &Fault) {
  ExchangeFailure Failed = this->failure(Kind::SendFailed, Fault);
  Failed.CallerGone = true;
  // A caller that sends its body too slowly is still connected, and gets a
  // response.
  if (Failed.TimedOut)
    Failed.BodyFault = HttpRefusal{504, "the body did not come in time"};
  Failed.TimedOut = false;
  if (const auto *Malformed = std::get_if<HttpRefusal>(&Fault))
    Failed.BodyFault = *Malformed;
  return Failed;
}

ExchangeResult<void> TargetExchange::run() {
  const auto Sending = this->send();
  if (!Sending)
    return Sending;
  return this->readResponseHead();
}

ExchangeResult<void> TargetExchange::resume() {
  this->SetAside = false;
  this->Params.OverdueAfter = config::OverduePollPeriod;
  return this->readResponseHead();
}

ExchangeResult<void> TargetExchange::send() {
  Poco::Net::HTTPRequest &Request = this->Params.Head;
  const auto Length = this->Params.Body->length();
  if (!Length)
    Request.setChunkedTransferEncoding(true);
  else if (*Length > 0 || Request.getMethod() == "POST" ||
           Request.getMethod() == "PUT" || Request.getMethod() == "PATCH")
    Request.setContentLength64(static_cast<Poco::Int64>(*Length));
  const std::string &Buffered = this->Params.Body->replayBuffer();

  // The clock is read as late as possible: a process that was paused may resume
  // long after the deadline.
  const auto Left =
      std::chrono::duration_cast<Millis>(timeLeft(this->Params.Deadline));
  const Dialect &Headers = *this->Params.HeaderDialect;
  Request.set(Headers.Deadline, std::to_string(Left.count()));
  if (!Headers.ExpectTarget.empty() && !this->Params.Target.empty())
    Request.set(Headers.ExpectTarget, this->Params.Target.str());
  std::string Text = headText(Request);
  if (Length)
    Text += Buffered;
  else if (!Buffered.empty())
    Text += chunkText(Buffered);
  if (timeLeft(this->Params.Deadline) < Millis(1))
    return tl::unexpected<ExchangeFailure>(
        ExchangeFailure{{Kind::DeadlinePassed, false,
                         "the deadline passed before the dispatch"},
                        false,
                        true,
                        false,
                        false,
                        {}});
  const auto Written =
      this->Pooled.Connection.write(Text, this->Params.Deadline, this->Sent);
  if (!Written) {
    ExchangeFailure Failed = this->failure(Kind::SendFailed, Written.error());
    Failed.StaleReuse = this->Pooled.Reused && !Failed.TimedOut;
    return tl::unexpected<ExchangeFailure>(Failed);
  }
  return this->sendRest(!Length);
}

ExchangeResult<void> TargetExchange::sendRest(bool Chunked) {
  TcpConnection &Connection = this->Pooled.Connection;
  while (!this->Params.Body->complete()) {
    // A target that responds early does not need the rest of the body.
    if (Connection.hasInput())
      return {};
    const auto Part = this->Params.Body->next();
    if (!Part)
      return tl::unexpected<ExchangeFailure>(
          this->requestBodyFailure(Part.error()));
    if (Part->empty())
      break;
    const auto Written =
        Chunked ? Connection.write(chunkText(*Part), this->Params.Deadline,
                                   this->Sent)
                : Connection.write(*Part, this->Params.Deadline, this->Sent);
    if (!Written)
      return {}; // The target may have sent a response with the cause.
  }
  if (Chunked) {
    const auto LastChunk =
        Connection.write("0\r\n\r\n", this->Params.Deadline, this->Sent);
    if (!LastChunk)
      return tl::unexpected<ExchangeFailure>(
          this->failure(Kind::SendFailed, LastChunk.error()));
  }
  this->RequestWritten = true;
  return {};
}

ExchangeResult<void> TargetExchange::readResponseHead() {
  const Instant Limit = this->Params.Deadline;
  for (int Heads = 0;; ++Heads) {
    // Heads that are already buffered are read without a check of the deadline,
    // so their number is limited.
    if (Heads > config::MaxInterimResponses)
      return tl::unexpected<ExchangeFailure>(
          this->failure(Kind::InvalidResponse,
                        HttpRefusal{502, "interim answers without an end"}));
    const auto Lines = this->awaitResponseHead(Limit);
    if (!Lines) {
      const bool Malformed = std::holds_alternative<HttpRefusal>(Lines.error());
      ExchangeFailure Failed = this->failure(
          Malformed ? Kind::InvalidResponse : Kind::NoResponse, Lines.error());
      Failed.SetAside = this->SetAside;
      Failed.StaleReuse = this->isStale(Failed);
      return tl::unexpected<ExchangeFailure>(Failed);
    }
    const auto Parsed = this->parseHead(*Lines);
    if (!Parsed)
      return Parsed;
    if (this->isForOtherRequest() && this->Pooled.Reused) {
      // A late response to an earlier request on this connection; the response
      // to this request follows it.
      const auto Skipped = this->skipOtherResponse(Limit);
      if (!Skipped)
        return Skipped;
      continue;
    }
    const std::string Fault = this->findHeadFault();
    if (!Fault.empty())
      return tl::unexpected<ExchangeFailure>(
          this->failure(Kind::InvalidResponse, HttpRefusal{502, Fault}));
    if (this->isInterim())
      continue;
    this->readTargetHeaders();
    return {};
  }
}

bool TargetExchange::isInterim() const {
  return this->Head.getStatus() < Poco::Net::HTTPResponse::HTTP_OK;
}

bool TargetExchange::isStale(const ExchangeFailure &Failed) const {
  return this->Pooled.Reused && !Failed.CallerGone && !Failed.TimedOut &&
         Failed.Attempt.Cause == Kind::NoResponse;
}

ReadResult<std::string> TargetExchange::awaitResponseHead(Instant Limit) {
  const auto Read = [this](Instant Until) {
    return readHead(this->Pooled.Connection, HeadKind::Response, Until,
                    timeLeft(this->Params.Deadline), this->Params.Caller);
  };
  if (this->Params.OverdueAfter == Duration::zero())
    return Read(Limit);
  Instant Overdue = bootNow() + this->Params.OverdueAfter;
  while (Overdue < Limit) {
    auto Lines = Read(Overdue);
    if (Lines || !this->Pooled.Connection.buffered().empty())
      return Lines;
    const auto *Fault = std::get_if<ConnectionFault>(&Lines.error());
    if (Fault == nullptr || Fault->Cause != ConnectionFault::Kind::Timeout)
      return Lines;
    this->SetAside = this->Params.OnOverdue();
    if (this->SetAside)
      return Lines;
    Overdue += config::OverduePollPeriod;
  }
  return Read(Limit);
}

ExchangeResult<void> TargetExchange::parseHead(const std::string &Lines) {
  this->Head = parseResponse(Lines);
  const auto Decided =
      responseFraming(framingFields(this->Head), this->Params.Head.getMethod(),
                      this->Head.getStatus());
  if (!Decided)
    return tl::unexpected<ExchangeFailure>(
        this->failure(Kind::InvalidResponse, Decided.error()));
  this->Framing = *Decided;
  this->Reader.emplace(this->Framing);
  return {};
}

bool TargetExchange::isForOtherRequest() const {
  const std::string ResponseId =
      this->Head.get(this->Params.HeaderDialect->RequestId, "");
  return this->CheckRequestId && !ResponseId.empty() &&
         ResponseId != this->Params.Id.str();
}

ExchangeResult<void> TargetExchange::skipOtherResponse(Instant Limit) {
  std::size_t Skipped = 0;
  std::string Discarded;
  while (!this->Reader->done()) {
    Discarded.clear();
    const auto Read = this->Reader->read(this->Pooled.Connection, Discarded,
                                         Limit, this->Params.Caller);
    if (!Read)
      return tl::unexpected<ExchangeFailure>(
          this->failure(Kind::NoResponse, Read.error()));
    Skipped += Discarded.size();
    if (Skipped > config::MaxSkippedBodyBytes)
      return tl::unexpected<ExchangeFailure>(this->failure(
          Kind::InvalidResponse,
          HttpRefusal{502, "a late answer to another request has no end"}));
    // A read of bytes that are there already does not check its deadline.
    if (bootNow() >= Limit)
      return tl::unexpected<ExchangeFailure>(this->failure(
          Kind::NoResponse, ConnectionFault{ConnectionFault::Kind::Timeout,
                                            "the deadline passed"}));
  }
  return {};
}

std::string TargetExchange::findHeadFault() const {
  const Dialect &Headers = *this->Params.HeaderDialect;
  const int Status = this->Head.getStatus();
  if (Status == Poco::Net::HTTPResponse::HTTP_SWITCHING_PROTOCOLS)
    return "the answer switches protocols, which nobody asked for";
  if (this->isInterim())
    return "";
  const bool Success = Status >= 200 && Status < 300;
  const bool MarkedNotRun =
      !Headers.NotRunHeader.empty() && this->Head.has(Headers.NotRunHeader);
  const bool LacksRequestId =
      !this->Head.has(Headers.RequestId) && this->Params.RequireEcho;
  // A target that can't read a request may reject it without its id. On a
  // connection in use again, this may be the rejection of an earlier request.
  const bool MayLackRequestId = MarkedNotRun && !this->Pooled.Reused;
  if (this->isForOtherRequest() || (LacksRequestId && !MayLackRequestId))
    return "the answer carries the id of another request or none";
  if (MarkedNotRun)
    return "";
  if (Success && !Headers.Seal.empty() && !this->Head.has(Headers.Seal))
    return "the answer does not carry the target's seal";
  if (Headers.RejectsEncodedBodies && this->Head.has("Content-Encoding"))
    return "the answer's body is encoded, which nobody asked for";
  if (Headers.StatusImpliesNotRun && promisesNotRun(Status) && Status != 421)
    return "status " + std::to_string(Status) + " without a mark of not run";
  return "";
}

void TargetExchange::readTargetHeaders() {
  const Dialect &Headers = *this->Params.HeaderDialect;
  if (!Headers.Outcome.empty())
    this->OutcomeText = this->Head.get(Headers.Outcome, "");
  this->NotRun = this->OutcomeText == "not-run";
  if (!Headers.NotRunHeader.empty())
    this->NotRun =
        this->Head.has(Headers.NotRunHeader) ||
        (Headers.StatusImpliesNotRun && this->Head.getStatus() == 421);
  this->readLoad();
  this->Notices = statedNotices(Headers, this->Head);
  this->Reusable =
      !wantsClose(this->Head) && this->Notices.find<LeavingNotice>() == nullptr;
  const std::string Length = this->Head.get("Content-Length", "");
  dropHopHeaders(this->Head);
  this->Head.erase("Content-Length");
  for (const std::string *Name :
       {&Headers.Outcome, &Headers.RequestId, &Headers.Leaving,
        &Headers.InFlight, &Headers.Load, &Headers.NotRunHeader,
        &Headers.RateLimit})
    if (!Name->empty())
      this->Head.erase(*Name);
  // A response to HEAD has no body; its length is that of a response to GET.
  const bool KeepLength = this->Params.Head.getMethod() == "HEAD";
  this->Response.Headers.assign(this->Head.begin(), this->Head.end());
  if (KeepLength && !Length.empty())
    this->Response.Headers.emplace_back("Content-Length", Length);
  this->Response.Status = this->Head.getStatus();
  this->Response.Reason = this->Head.getReason();
}

void TargetExchange::readLoad() {
  const Dialect &Headers = *this->Params.HeaderDialect;
  unsigned Running = 0;
  if (!Headers.Load.empty())
    this->InFlight = parseLoad(this->Head.get(Headers.Load, ""));
  else if (Poco::NumberParser::tryParseUnsigned(
               this->Head.get(Headers.InFlight, ""), Running))
    this->InFlight = Running;
}

ExchangeResult<void> TargetExchange::bufferBody(std::size_t MaxBytes) {
  while (!this->Reader->done() && this->Response.Body.size() < MaxBytes) {
    const auto Read =
        this->Reader->read(this->Pooled.Connection, this->Response.Body,
                           this->Params.Deadline, this->Params.Caller);
    if (!Read)
      return tl::unexpected<ExchangeFailure>(
          this->failure(Kind::IncompleteResponse, Read.error()));
  }
  return {};
}

ExchangeResult<std::string> TargetExchange::nextPart() {
  std::string Part;
  // No other answer can take the place of a response that has begun.
  this->Pooled.Connection.endWaitsBy(-1);
  const Instant Now = bootNow();
  const Instant Deadline =
      this->Params.StreamDeadline.value_or(Now + config::BodyStallTimeout);
  if (Now >= Deadline)
    return tl::unexpected<ExchangeFailure>(
        this->failure(Kind::IncompleteResponse,
                      ConnectionFault{ConnectionFault::Kind::Timeout,
                                      "the answer goes on past its time"}));
  const auto Read = this->Reader->read(this->Pooled.Connection, Part, Deadline,
                                       this->Params.Caller);
  if (!Read)
    return tl::unexpected<ExchangeFailure>(
        this->failure(Kind::IncompleteResponse, Read.error()));
  return Part;
}

std::optional<std::uint64_t> TargetExchange::length() const {
  if (const auto *Fixed = std::get_if<FixedBody>(&this->Framing))
    return Fixed->Length;
  return std::nullopt;
}

void TargetExchange::restoreOutcomeHeader() {
  if (!this->OutcomeText.empty())
    this->Response.Headers.emplace_back(this->Params.HeaderDialect->Outcome,
                                        this->OutcomeText);
}

void TargetExchange::finish(ConnectionPool &Pool) {
  if (this->Finished)
    return;
  this->Finished = true;
  // The target would read the next request as the rest of this one.
  if (this->Reusable && this->complete() && this->RequestWritten &&
      this->Pooled.Connection.buffered().empty())
    Pool.put(std::move(this->Pooled));
  else
    this->Pooled.Connection.close();
}

} // namespace siskinstage
