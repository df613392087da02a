#include "net/http_io.h"
#include "net/boot_time.h"
#include "siskinstage/config.h"

#include <Poco/String.h>
#include <algorithm>
#include <array>
#include <charconv>
#include <sstream>

namespace siskinstage {

namespace {

constexpr std::array<const char *, 9> HopHeaders = {"Connection",
                                                    "Keep-Alive",
                                                    "Proxy-Connection",
                                                    "TE",
                                                    "Trailer",
                                                    "Transfer-Encoding",
                                                    "Upgrade",
                                                    "Proxy-Authenticate",
                                                    "Proxy-Authorization"};

/// Whether a Connection header must not remove the header \p Name.
bool isEndToEnd(const std::string &Name) {
  return Poco::icompare(Name, "Host") == 0 ||
         Poco::icompare(Name, "Content-Length") == 0 ||
         Poco::icompare(Name, "Idempotency-Key") == 0 ||
         Poco::icompare(Name, 0, 11, "Siskinstage") == 0;
}

/// For loops that read: a read waits, and so checks its deadline, only if the
/// peer has not sent anything yet.
bool isPast(Instant Deadline) { return bootNow() >= Deadline; }

ConnectionFault deadlinePassed() {
  return {ConnectionFault::Kind::Timeout, "the deadline passed"};
}

std::size_t leadingEmptyLines(std::string_view Bytes) {
  std::size_t Length = 0;
  while (Bytes.substr(Length, 2) == "\r\n")
    Length += 2;
  return Length;
}

/// Splits \p Text at its first \p Separator and returns the part before it;
/// \p Text keeps the part after it.
std::string_view takePart(std::string_view &Text, std::string_view Separator) {
  const std::size_t End = std::min(Text.find(Separator), Text.size());
  const std::string_view Part = Text.substr(0, End);
  Text.remove_prefix(std::min(End + Separator.size(), Text.size()));
  return Part;
}

/// Adds the field lines of a normalized head to \p Into. The library's own
/// parser is not used, as it decodes encoded words (RFC 2047) in field values,
/// and the decoded text may contain line ends.
void addFields(std::string_view Lines, Poco::Net::HTTPMessage &Into) {
  while (!Lines.empty()) {
    std::string_view Value = takePart(Lines, "\r\n");
    const std::string_view Name = takePart(Value, ": ");
    if (!Name.empty())
      Into.add(std::string(Name), std::string(Value));
  }
}

template <typename Message> std::string serializeHead(const Message &From) {
  std::ostringstream Stream;
  From.write(Stream);
  return Stream.str();
}

} // namespace

std::string readFaultText(const ReadFault &Fault) {
  return std::visit([](const auto &Cause) { return Cause.Reason; }, Fault);
}

ReadResult<std::string> readHead(TcpConnection &From, HeadKind Kind,
                                 Instant FirstByte, Duration HeadTime,
                                 const TcpConnection *Watched) {
  Instant Deadline = FirstByte;
  bool Started = false;
  std::size_t Skipped = 0; ///< Bytes of empty lines before a request.
  while (true) {
    if (Kind == HeadKind::Request) {
      const std::size_t EmptyLines = leadingEmptyLines(From.buffered());
      From.consume(EmptyLines);
      Skipped += EmptyLines;
      if (Skipped > config::MaxHeaderBytes)
        return tl::unexpected<ReadFault>(
            HttpRefusal{400, "empty lines in place of a request"});
    }
    const std::size_t Length = headLength(From.buffered());
    if (Length > config::MaxHeaderBytes ||
        (Length == 0 && From.buffered().size() > config::MaxHeaderBytes))
      return tl::unexpected<ReadFault>(
          HttpRefusal{431, "the head is longer than 32 KiB"});
    if (Length > 0) {
      auto Head = normalizeHead(From.buffered().substr(0, Length), Kind);
      From.consume(Length);
      if (!Head)
        return tl::unexpected<ReadFault>(Head.error());
      return std::move(*Head);
    }
    if (!Started && !From.buffered().empty()) {
      Started = true;
      Deadline = bootNow() + HeadTime;
    }
    const auto Filled = From.fill(Deadline, Watched);
    if (!Filled)
      return tl::unexpected<ReadFault>(Filled.error());
  }
}

Poco::Net::HTTPRequest parseRequest(std::string_view Head) {
  std::string_view Line = takePart(Head, "\r\n");
  const std::string Method(takePart(Line, " "));
  const std::string Target(takePart(Line, " "));
  Poco::Net::HTTPRequest Request(Method, Target, std::string(Line));
  addFields(Head, Request);
  return Request;
}

Poco::Net::HTTPResponse parseResponse(std::string_view Head) {
  std::string_view Line = takePart(Head, "\r\n");
  Poco::Net::HTTPResponse Response;
  Response.setVersion(std::string(takePart(Line, " ")));
  Response.setStatus(std::string(takePart(Line, " ")));
  Response.setReason(std::string(Line));
  addFields(Head, Response);
  return Response;
}

std::vector<std::string> headerValues(const Poco::Net::HTTPMessage &Message,
                                      const std::string &Name) {
  std::vector<std::string> Values;
  for (auto Header = Message.find(Name);
       Header != Message.end() && Poco::icompare(Header->first, Name) == 0;
       ++Header)
    Values.push_back(Header->second);
  return Values;
}

FramingFields framingFields(const Poco::Net::HTTPMessage &Message) {
  return {headerValues(Message, "Content-Length"),
          headerValues(Message, "Transfer-Encoding"),
          Message.getVersion() == Poco::Net::HTTPMessage::HTTP_1_0};
}

void dropHopHeaders(Poco::Net::HTTPMessage &Message) {
  for (const std::string &Value : headerValues(Message, "Connection")) {
    std::istringstream Items(Value);
    std::string Item;
    while (std::getline(Items, Item, ',')) {
      Poco::trimInPlace(Item);
      if (!Item.empty() && !isEndToEnd(Item))
        Message.erase(Item);
    }
  }
  for (const char *Name : HopHeaders)
    Message.erase(Name);
}

BodyReader::BodyReader(const BodyFraming &Framing) : Framing(Framing) {
  if (const auto *Fixed = std::get_if<FixedBody>(&Framing))
    this->Remaining = Fixed->Length;
  this->Done =
      !std::holds_alternative<ChunkedBody>(Framing) && this->Remaining == 0;
}

ReadResult<void> BodyReader::readFixed(TcpConnection &From, std::string &Into) {
  const std::string_view Ready = From.buffered();
  const auto Taken = static_cast<std::size_t>(
      std::min<std::uint64_t>(this->Remaining, Ready.size()));
  Into += Ready.substr(0, Taken);
  From.consume(Taken);
  this->Remaining -= Taken;
  this->Done = this->Remaining == 0;
  return {};
}

ReadResult<void> BodyReader::readChunks(TcpConnection &From,
                                        std::string &Into) {
  while (!From.buffered().empty() && !this->Done) {
    const auto Step = this->Chunks.step(From.buffered());
    if (!Step)
      return tl::unexpected<ReadFault>(Step.error());
    Into += Step->Data;
    From.consume(Step->Consumed);
    this->Done = this->Chunks.done();
  }
  return {};
}

ReadResult<void> BodyReader::read(TcpConnection &From, std::string &Into,
                                  Instant Deadline,
                                  const TcpConnection *Watched) {
  const std::size_t Before = Into.size();
  bool Filled = false;
  while (!this->Done && Into.size() == Before) {
    if (From.buffered().empty()) {
      if (Filled && isPast(Deadline))
        return tl::unexpected<ReadFault>(deadlinePassed());
      Filled = true;
      const auto Received = From.fill(Deadline, Watched);
      if (!Received)
        return tl::unexpected<ReadFault>(Received.error());
    }
    const bool Chunked = std::holds_alternative<ChunkedBody>(this->Framing);
    const auto Read =
        Chunked ? this->readChunks(From, Into) : this->readFixed(From, Into);
    if (!Read)
      return Read;
  }
  return {};
}

ReadResult<std::string> readWholeBody(TcpConnection &From,
                                      const BodyFraming &Framing,
                                      std::size_t MaxBytes, Instant Deadline) {
  BodyReader Reader(Framing);
  std::string Body;
  while (!Reader.done()) {
    const auto Read = Reader.read(From, Body, Deadline);
    if (!Read)
      return tl::unexpected<ReadFault>(Read.error());
    if (Body.size() > MaxBytes)
      return tl::unexpected<ReadFault>(
          HttpRefusal{413, "the body is longer than " +
                               std::to_string(MaxBytes) + " bytes"});
    if (!Reader.done() && isPast(Deadline))
      return tl::unexpected<ReadFault>(deadlinePassed());
  }
  return Body;
}

std::string headText(const Poco::Net::HTTPRequest &Message) {
  return serializeHead(Message);
}

std::string headText(const Poco::Net::HTTPResponse &Message) {
  return serializeHead(Message);
}

std::string chunkText(std::string_view Data) {
  std::array<char, 20> Digits{};
  const auto End = std::to_chars(Digits.data(), Digits.data() + Digits.size(),
                                 Data.size(), 16);
  std::string Text(Digits.data(), End.ptr);
  Text += "\r\n";
  Text += Data;
  return Text + "\r\n";
}

} // namespace siskinstage
