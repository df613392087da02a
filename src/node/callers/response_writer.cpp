#include "node/callers/response_writer.h"
#include "net/boot_time.h"
#include "node/drain_state.h"
#include "node/operators/log.h"

#include <Poco/NumberFormatter.h>

namespace siskinstage {

namespace {

using Poco::Net::HTTPMessage;
using Poco::Net::HTTPResponse;

bool keepsConnection(const CallerRequest &Request) {
  for (const std::string &Value : headerValues(Request.Head, "Connection")) {
    if (Poco::icompare(Value, "close") == 0)
      return false;
    if (Poco::icompare(Value, "keep-alive") == 0)
      return true;
  }
  return !Request.Http10;
}

bool neverHasBody(int Status) {
  return Status == 204 || Status == 304 || Status < 200;
}

} // namespace

ResponseWriter::ResponseWriter(TcpConnection &Caller,
                               const CallerRequest &Request,
                               const Dialect &HeaderDialect,
                               const DrainState &Drain)
    : Caller(Caller), HeaderDialect(HeaderDialect), Drain(&Drain),
      Id(Request.Id), Http10(Request.Http10),
      HeadOnly(Request.Head.getMethod() == "HEAD"),
      Keyed(Request.Key.has_value()), Close(!keepsConnection(Request)) {}

ResponseWriter::ResponseWriter(TcpConnection &Caller, RequestId Id,
                               const Dialect &HeaderDialect, Duration WriteTime)
    : Caller(Caller), HeaderDialect(HeaderDialect), Id(std::move(Id)),
      Close(true), WriteTime(WriteTime) {}

HTTPResponse ResponseWriter::headOf(const StoredResponse &Response) {
  HTTPResponse Head(HTTPMessage::HTTP_1_1,
                    static_cast<HTTPResponse::HTTPStatus>(Response.Status),
                    Response.Reason);
  for (const auto &[Name, Value] : Response.Headers)
    Head.add(Name, Value);
  Head.set(this->HeaderDialect.RequestId, this->Id.str());
  this->Status = Response.Status;
  // Checked as late as possible: the drain may have started meanwhile.
  if (this->Drain != nullptr && this->Drain->active())
    this->Close = true;
  return Head;
}

void ResponseWriter::send(std::string_view Bytes) {
  std::size_t SentBytes = 0;
  const auto Sent =
      this->Caller.write(Bytes, bootNow() + this->WriteTime, SentBytes);
  if (Sent)
    return;
  this->Close = true;
  logEvent(LogLevel::Info,
           "the response to request " + this->Id.str() + " is not complete",
           {{"peer", this->Caller.peer()},
            {"sent_bytes", std::to_string(SentBytes)},
            {"bytes", std::to_string(Bytes.size())},
            {"reason", Sent.error().Reason}});
}

void ResponseWriter::sendRefusal(const Refusal &Refused) {
  StoredResponse Response;
  Response.Status = Refused.Status;
  Response.Reason = HTTPResponse::getReasonForStatus(
      static_cast<HTTPResponse::HTTPStatus>(Refused.Status));
  Response.Headers = {{"Content-Type", "application/json"}};
  if (!this->HeaderDialect.Outcome.empty())
    Response.Headers.emplace_back(this->HeaderDialect.Outcome,
                                  outcomeName(Refused.RequestOutcome));
  if (Refused.Status == HTTPResponse::HTTP_UNAUTHORIZED)
    Response.Headers.emplace_back("WWW-Authenticate",
                                  "ApiKey header=\"" +
                                      this->HeaderDialect.ApiKey + "\"");
  if (Refused.RetryAfter)
    Response.Headers.emplace_back("Retry-After",
                                  this->secondsText(*Refused.RetryAfter));
  Response.Body = refusalBody(Refused, this->Keyed);
  this->sendComplete(Response);
}

std::string ResponseWriter::secondsText(Duration Delay) const {
  if (this->HeaderDialect.FractionalRetryAfter)
    return Poco::NumberFormatter::format(
        std::chrono::duration<double>(Delay).count(), 3);
  const auto Seconds = std::chrono::ceil<std::chrono::seconds>(Delay);
  return std::to_string(std::max<std::int64_t>(1, Seconds.count()));
}

void ResponseWriter::sendComplete(const StoredResponse &Response) {
  HTTPResponse Head = this->headOf(Response);
  // The response to HEAD keeps the length that the target stated.
  if (!this->HeadOnly && !neverHasBody(Response.Status))
    Head.setContentLength64(static_cast<Poco::Int64>(Response.Body.size()));
  Head.setKeepAlive(!this->Close);
  std::string Text = headText(Head);
  if (!this->HeadOnly && !neverHasBody(Response.Status))
    Text += Response.Body;
  this->send(Text);
}

void ResponseWriter::sendHead(const StoredResponse &Response,
                              std::optional<std::uint64_t> Length) {
  HTTPResponse Head = this->headOf(Response);
  this->Chunked = !Length && !this->Http10;
  if (Length)
    Head.setContentLength64(static_cast<Poco::Int64>(*Length));
  else if (this->Chunked)
    Head.setChunkedTransferEncoding(true);
  else
    this->Close = true;
  Head.setKeepAlive(!this->Close);
  this->send(headText(Head));
}

bool ResponseWriter::sendPart(std::string_view Data) {
  if (Data.empty())
    return true;
  const auto Deadline = bootNow() + this->WriteTime;
  const auto Sent = this->Chunked
                        ? this->Caller.write(chunkText(Data), Deadline)
                        : this->Caller.write(Data, Deadline);
  if (!Sent)
    this->Close = true;
  return Sent.has_value();
}

void ResponseWriter::finish() {
  if (this->Chunked)
    this->send("0\r\n\r\n");
}

void ResponseWriter::abort() {
  this->Close = true;
  this->Caller.abort();
}

} // namespace siskinstage
