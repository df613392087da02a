#include "node/target_exchange.h"
#include "net/boot_time.h"
#include "siskinstage/config.h"

#include <Poco/NumberParser.h>
#include <Poco/StringTokenizer.h>
#include <algorithm>

namespace siskinstage {

namespace {

using Kind = AttemptFailure::Kind;

/// Whether \p Status promises that the request was not run.
bool promisesNotRun(int Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

/// Requests running and waiting, from "running,waiting,slots".
std::optional<unsigned> loadOf(const std::string &Text) {
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

TargetExchange::TargetExchange(PooledConnection Taken, ExchangeOrder Order)
    : Taken(std::move(Taken)), Order(std::move(Order)) {}

ExchangeFailure TargetExchange::failure(Kind What, const ReadFault &Fault) {
  ExchangeFailure Failed;
  Failed.Attempt = {What, this->Sent > 0, readFaultText(Fault)};
  if (const auto *Broken = std::get_if<WireFault>(&Fault)) {
    Failed.CallerGone = Broken->What == WireFault::Kind::Cancelled;
    Failed.TimedOut = Broken->What == WireFault::Kind::Timeout;
  }
  return Failed;
}

ExchangeFailure TargetExchange::bodyFailure(const ReadFault &Fault) {
  ExchangeFailure Failed = this->failure(Kind::SendFailed, Fault);
  Failed.CallerGone = true;
  // A caller that stalls is still there and waits for an answer.
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
  return this->readAnswerHead();
}

ExchangeResult<void> TargetExchange::send() {
  Poco::Net::HTTPRequest &Request = this->Order.Head;
  const auto Length = this->Order.Body->length();
  if (!Length)
    Request.setChunkedTransferEncoding(true);
  else if (*Length > 0 || Request.getMethod() == "POST" ||
           Request.getMethod() == "PUT" || Request.getMethod() == "PATCH")
    Request.setContentLength64(static_cast<Poco::Int64>(*Length));
  const std::string &Held = this->Order.Body->held();

  // The clock is read as late as can be: a process that was paused may wake
  // long after the deadline.
  const auto Left =
      std::chrono::duration_cast<Millis>(timeLeft(this->Order.Deadline));
  const Dialect &Speak = *this->Order.Speak;
  Request.set(Speak.Deadline, std::to_string(Left.count()));
  if (!Speak.ExpectTarget.empty() && !this->Order.Target.empty())
    Request.set(Speak.ExpectTarget, this->Order.Target.str());
  std::string Text = headText(Request);
  if (Length)
    Text += Held;
  else if (!Held.empty())
    Text += chunkText(Held);
  if (timeLeft(this->Order.Deadline) < Millis(1))
    return tl::unexpected<ExchangeFailure>(ExchangeFailure{
        {Kind::DeadlinePassed, false, "the deadline passed before the dispatch"},
        false,
        true,
        false,
        false,
        {}});
  const auto Written =
      this->Taken.Connection.write(Text, this->Order.Deadline, this->Sent);
  if (!Written) {
    ExchangeFailure Failed = this->failure(Kind::SendFailed, Written.error());
    Failed.StaleReuse = this->Taken.Reused && !Failed.TimedOut;
    return tl::unexpected<ExchangeFailure>(Failed);
  }
  return this->sendRest(!Length);
}

ExchangeResult<void> TargetExchange::sendRest(bool Chunked) {
  Wire &Target = this->Taken.Connection;
  while (!this->Order.Body->whole()) {
    // A target that answers early does not want the rest.
    if (Target.stale())
      return {};
    const auto Part = this->Order.Body->next();
    if (!Part)
      return tl::unexpected<ExchangeFailure>(this->bodyFailure(Part.error()));
    if (Part->empty())
      break;
    const auto Written =
        Chunked
            ? Target.write(chunkText(*Part), this->Order.Deadline, this->Sent)
            : Target.write(*Part, this->Order.Deadline, this->Sent);
    if (!Written)
      return {}; // It may still have answered why.
  }
  if (!Chunked)
    return {};
  const auto Ended =
      Target.write("0\r\n\r\n", this->Order.Deadline, this->Sent);
  if (!Ended)
    return tl::unexpected<ExchangeFailure>(
        this->failure(Kind::SendFailed, Ended.error()));
  return {};
}

ExchangeResult<void> TargetExchange::readAnswerHead() {
  const Instant Limit = this->Order.Deadline;
  for (int Heads = 0;; ++Heads) {
    // Heads that are there already are read without a look at the time.
    if (Heads > config::MaxInterimResponses)
      return tl::unexpected<ExchangeFailure>(this->failure(
          Kind::InvalidResponse, HttpRefusal{502, "interim answers without an end"}));
    const auto Lines = this->awaitHead(Limit);
    if (!Lines) {
      const bool Malformed = std::holds_alternative<HttpRefusal>(Lines.error());
      ExchangeFailure Failed = this->failure(
          Malformed ? Kind::InvalidResponse : Kind::NoResponse, Lines.error());
      Failed.GivenUp = this->GivenUp;
      Failed.StaleReuse = this->isStale(Failed);
      return tl::unexpected<ExchangeFailure>(Failed);
    }
    auto Taking = this->takeHead(*Lines);
    if (Taking && this->isForeign() && this->Taken.Reused) {
      // The end of an earlier request's answers: ours comes behind it.
      const auto Skipped = this->skipForeign(Limit);
      if (!Skipped)
        return Skipped;
      continue;
    }
    if (Taking && this->Head.getStatus() >= 200) {
      const std::string Fault = this->headFault();
      if (!Fault.empty())
        return tl::unexpected<ExchangeFailure>(
            this->failure(Kind::InvalidResponse, HttpRefusal{502, Fault}));
      this->readTargetHeaders();
    }
    // Interim answers, as "103 Early Hints", come before the one that counts.
    if (!Taking || this->Head.getStatus() >= 200)
      return Taking;
  }
}

bool TargetExchange::isStale(const ExchangeFailure &Failed) const {
  return this->Taken.Reused && !Failed.CallerGone && !Failed.TimedOut &&
         Failed.Attempt.What == Kind::NoResponse;
}

ReadResult<std::string> TargetExchange::awaitHead(Instant Limit) {
  const auto Read = [this](Instant Until) {
    return readHead(this->Taken.Connection, HeadKind::Answer, Until,
                    timeLeft(this->Order.Deadline), this->Order.Caller);
  };
  if (this->Order.OverdueAfter == Duration::zero())
    return Read(Limit);
  Instant Overdue = bootNow() + this->Order.OverdueAfter;
  while (Overdue < Limit) {
    auto Lines = Read(Overdue);
    if (Lines || !this->Taken.Connection.buffered().empty())
      return Lines;
    const auto *Fault = std::get_if<WireFault>(&Lines.error());
    if (Fault == nullptr || Fault->What != WireFault::Kind::Timeout)
      return Lines;
    this->GivenUp = this->Order.OnOverdue();
    if (this->GivenUp)
      return Lines;
    Overdue += config::OverduePollPeriod;
  }
  return Read(Limit);
}

ExchangeResult<void> TargetExchange::takeHead(const std::string &Lines) {
  auto Parsed = parseAnswer(Lines);
  if (!Parsed)
    return tl::unexpected<ExchangeFailure>(
        this->failure(Kind::InvalidResponse, Parsed.error()));
  this->Head = *Parsed;
  const auto Decided =
      answerFraming(framingFields(this->Head), this->Order.Head.getMethod(),
                    this->Head.getStatus());
  if (!Decided)
    return tl::unexpected<ExchangeFailure>(
        this->failure(Kind::InvalidResponse, Decided.error()));
  this->Framing = *Decided;
  this->Reader.emplace(this->Framing);

  return {};
}

bool TargetExchange::isForeign() const {
  const std::string Echo = this->Head.get(this->Order.Speak->RequestId, "");
  return this->CheckEcho && !Echo.empty() && Echo != this->Order.Id.str();
}

ExchangeResult<void> TargetExchange::skipForeign(Instant Limit) {
  std::string Dropped;
  while (!this->Reader->done()) {
    Dropped.clear();
    const auto Read = this->Reader->read(this->Taken.Connection, Dropped, Limit,
                                         this->Order.Caller);
    if (!Read)
      return tl::unexpected<ExchangeFailure>(
          this->failure(Kind::NoResponse, Read.error()));
  }
  return {};
}

std::string TargetExchange::headFault() const {
  const Dialect &Speak = *this->Order.Speak;
  const int Status = this->Head.getStatus();
  const bool Success = Status >= 200 && Status < 300;
  const bool Marked =
      !Speak.NotRunMark.empty() && this->Head.has(Speak.NotRunMark);
  if (Marked)
    return "";
  const bool Echoed = this->Head.has(Speak.RequestId);
  if (this->isForeign() || (!Echoed && this->Order.RequireEcho))
    return "the answer carries the id of another request or none";
  if (Success && !Speak.Seal.empty() && !this->Head.has(Speak.Seal))
    return "the answer does not carry the target's seal";
  if (Speak.PlainBodies && this->Head.has("Content-Encoding"))
    return "the answer's body is encoded, which nobody asked for";
  if (Speak.StatusPromises && promisesNotRun(Status) && Status != 421)
    return "status " + std::to_string(Status) + " without a mark of not run";
  return "";
}

void TargetExchange::readTargetHeaders() {
  const Dialect &Speak = *this->Order.Speak;
  if (!Speak.Outcome.empty())
    this->OutcomeText = this->Head.get(Speak.Outcome, "");
  this->NotRun = this->OutcomeText == "not-run";
  if (!Speak.NotRunMark.empty())
    this->NotRun = this->Head.has(Speak.NotRunMark) ||
                   (Speak.StatusPromises && this->Head.getStatus() == 421);
  if (!Speak.Leaving.empty())
    this->Leaving = this->Head.get(Speak.Leaving, "") == "yes";
  this->readLoad();
  this->Reusable = !wantsClose(this->Head) && !this->Leaving;
  const std::string Length = this->Head.get("Content-Length", "");
  dropHopHeaders(this->Head);
  this->Head.erase("Content-Length");
  for (const std::string *Name :
       {&Speak.Outcome, &Speak.RequestId, &Speak.Leaving, &Speak.InFlight,
        &Speak.Load, &Speak.NotRunMark})
    if (!Name->empty())
      this->Head.erase(*Name);
  // Without a body of its own, the answer keeps the length it speaks of.
  const bool KeepLength = this->Order.Head.getMethod() == "HEAD";
  this->Answer.Headers.assign(this->Head.begin(), this->Head.end());
  if (KeepLength && !Length.empty())
    this->Answer.Headers.emplace_back("Content-Length", Length);
  this->Answer.Status = this->Head.getStatus();
  this->Answer.Reason = this->Head.getReason();
}

void TargetExchange::readLoad() {
  const Dialect &Speak = *this->Order.Speak;
  unsigned Running = 0;
  if (!Speak.Load.empty())
    this->InFlight = loadOf(this->Head.get(Speak.Load, ""));
  else if (Poco::NumberParser::tryParseUnsigned(
               this->Head.get(Speak.InFlight, ""), Running))
    this->InFlight = Running;
}

ExchangeResult<void> TargetExchange::holdBody(std::size_t MaxBytes) {
  while (!this->Reader->done() && this->Answer.Body.size() < MaxBytes) {
    const auto Read =
        this->Reader->read(this->Taken.Connection, this->Answer.Body,
                           this->Order.Deadline, this->Order.Caller);
    if (!Read)
      return tl::unexpected<ExchangeFailure>(
          this->failure(Kind::IncompleteResponse, Read.error()));
  }
  return {};
}

ExchangeResult<std::string> TargetExchange::nextPart() {
  std::string Part;
  const Instant Now = bootNow();
  const Instant End =
      this->Order.StreamEnd.value_or(Now + config::BodyStallTimeout);
  if (Now >= End)
    return tl::unexpected<ExchangeFailure>(this->failure(
        Kind::IncompleteResponse, WireFault{WireFault::Kind::Timeout,
                                   "the answer goes on past its time"}));
  const auto Read =
      this->Reader->read(this->Taken.Connection, Part,
                         std::min(End, Now + config::BodyStallTimeout));
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

void TargetExchange::restoreOwnHeaders() {
  if (!this->OutcomeText.empty())
    this->Answer.Headers.emplace_back(this->Order.Speak->Outcome,
                                      this->OutcomeText);
}

void TargetExchange::finish(ConnectionPool &Pool) {
  if (this->Finished)
    return;
  this->Finished = true;
  if (this->Reusable && this->whole() && !this->bodyLeft() &&
      this->Taken.Connection.buffered().empty())
    Pool.put(std::move(this->Taken));
  else
    this->Taken.Connection.close();
}

} // namespace siskinstage
