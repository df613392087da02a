#include "node/response_writer.h"
#include "net/boot_time.h"

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

bool hasNoBody(int Status) {
  return Status == 204 || Status == 304 || Status < 200;
}

} // namespace

ResponseWriter::ResponseWriter(TcpConnection &Caller,
                               const CallerRequest &Request,
                               const Dialect &Speak)
    : Caller(Caller), Speak(Speak), Id(Request.Id), Http10(Request.Http10),
      HeadOnly(Request.Head.getMethod() == "HEAD"),
      Keyed(Request.Key.has_value()), Close(!keepsConnection(Request)) {}

ResponseWriter::ResponseWriter(TcpConnection &Caller, RequestId Id,
                               const Dialect &Speak, Duration WriteTime)
    : Caller(Caller), Speak(Speak), Id(std::move(Id)), Close(true),
      WriteTime(WriteTime) {}

HTTPResponse ResponseWriter::headOf(const StoredResponse &Answer) {
  HTTPResponse Head(HTTPMessage::HTTP_1_1,
                    static_cast<HTTPResponse::HTTPStatus>(Answer.Status),
                    Answer.Reason);
  for (const auto &[Name, Value] : Answer.Headers)
    Head.add(Name, Value);
  Head.set(this->Speak.RequestId, this->Id.str());
  this->Status = Answer.Status;
  return Head;
}

void ResponseWriter::send(std::string_view Bytes) {
  const auto Sent = this->Caller.write(Bytes, bootNow() + this->WriteTime);
  if (Sent)
    return;
  this->Close = true;
}

void ResponseWriter::sendRefusal(const Refusal &Refused) {
  StoredResponse Answer;
  Answer.Status = Refused.Status;
  Answer.Reason = HTTPResponse::getReasonForStatus(
      static_cast<HTTPResponse::HTTPStatus>(Refused.Status));
  Answer.Headers = {{"Content-Type", "application/json"}};
  if (!this->Speak.Outcome.empty())
    Answer.Headers.emplace_back(this->Speak.Outcome,
                                outcomeName(Refused.RequestOutcome));
  if (Refused.RetryAfter)
    Answer.Headers.emplace_back("Retry-After",
                                this->secondsText(*Refused.RetryAfter));
  Answer.Body = refusalBody(Refused, this->Keyed);
  this->sendComplete(Answer);
}

std::string ResponseWriter::secondsText(Duration Length) const {
  if (this->Speak.FractionalRetryAfter)
    return Poco::NumberFormatter::format(
        std::chrono::duration<double>(Length).count(), 3);
  const auto Seconds = std::chrono::ceil<std::chrono::seconds>(Length);
  return std::to_string(std::max<std::int64_t>(1, Seconds.count()));
}

void ResponseWriter::sendComplete(const StoredResponse &Answer) {
  HTTPResponse Head = this->headOf(Answer);
  // The answer to HEAD keeps the length that the target stated.
  if (!this->HeadOnly && !hasNoBody(Answer.Status))
    Head.setContentLength64(static_cast<Poco::Int64>(Answer.Body.size()));
  Head.setKeepAlive(!this->Close);
  std::string Text = headText(Head);
  if (!this->HeadOnly && !hasNoBody(Answer.Status))
    Text += Answer.Body;
  this->send(Text);
}

void ResponseWriter::sendHead(const StoredResponse &Answer,
                              std::optional<std::uint64_t> Length) {
  HTTPResponse Head = this->headOf(Answer);
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
