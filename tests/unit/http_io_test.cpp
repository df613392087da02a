#include "net/http_io.h"
#include "unit/connection_pair.h"

#include <chrono>
#include <gtest/gtest.h>
#include <string>
#include <thread>

namespace siskinstage {
namespace {

constexpr const char *Word = "=?utf-8?Q?a=0D=0AX-Added:_1?=";

std::string normalized(const std::string &Raw, HeadKind Kind) {
  const auto Head = normalizeHead(Raw, Kind);
  return Head ? *Head : "";
}

// The library's parser decodes encoded words, whose line ends add headers.
TEST(HttpIo, KeepsEncodedWordsOfARequest) {
  const std::string Head =
      normalized("GET /a?b=1 HTTP/1.1\r\nX-Note: " + std::string(Word) +
                     "\r\nX-Empty:\r\nX-A: 1: 2\r\n\r\n",
                 HeadKind::Request);
  const Poco::Net::HTTPRequest Request = parseRequest(Head);
  EXPECT_EQ(Request.getMethod(), "GET");
  EXPECT_EQ(Request.getURI(), "/a?b=1");
  EXPECT_EQ(Request.getVersion(), "HTTP/1.1");
  EXPECT_EQ(Request.get("X-Note"), Word);
  EXPECT_EQ(Request.get("X-Empty"), "");
  EXPECT_EQ(Request.get("X-A"), "1: 2");
  EXPECT_EQ(Request.size(), 3U);
  EXPECT_EQ(headText(Request), Head);
}

TEST(HttpIo, KeepsEncodedWordsOfAResponse) {
  const std::string Head = normalized(
      "HTTP/1.0 200 All right\r\nX-Note: " + std::string(Word) + "\r\n\r\n",
      HeadKind::Response);
  const Poco::Net::HTTPResponse Response = parseResponse(Head);
  EXPECT_EQ(Response.getVersion(), "HTTP/1.0");
  EXPECT_EQ(Response.getStatus(), 200);
  EXPECT_EQ(Response.getReason(), "All right");
  EXPECT_EQ(Response.get("X-Note"), Word);
  EXPECT_EQ(Response.size(), 1U);
  EXPECT_EQ(headText(Response), Head);
}

TEST(HttpIo, ReadsAResponseWithoutAReason) {
  const Poco::Net::HTTPResponse Response = parseResponse(
      normalized("HTTP/1.1 204\r\nA: b\r\n\r\n", HeadKind::Response));
  EXPECT_EQ(Response.getStatus(), 204);
  EXPECT_EQ(Response.getReason(), "");
  EXPECT_EQ(Response.get("A"), "b");
}

/// A peer that sends the same bytes until its connection is closed, always
/// faster than they are read, or for MaxTime.
class EndlessSender {
public:
  explicit EndlessSender(const std::string &Repeated) {
    std::string Block;
    while (Block.size() < BlockBytes)
      Block += Repeated;
    this->Sender = std::thread([this, Block = std::move(Block)] {
      const Instant End = bootNow() + MaxTime;
      while (bootNow() < End && this->Pair.Far.write(Block, End))
        ;
    });
  }
  EndlessSender(const EndlessSender &) = delete;
  EndlessSender &operator=(const EndlessSender &) = delete;
  ~EndlessSender() {
    this->Pair.Near.abort();
    this->Sender.join();
  }
  TcpConnection &receiver() { return this->Pair.Near; }

  static constexpr std::chrono::seconds MaxTime{10};

private:
  static constexpr std::size_t BlockBytes = 64 * 1024;
  ConnectionPair Pair;
  std::thread Sender;
};

constexpr std::chrono::milliseconds ReadTime{200};
constexpr std::chrono::milliseconds Slack{800};

// A sender that is as fast as the reader never lets a read wait, and waiting
// was the only time at which the deadline was checked.
TEST(HttpIo, ABodyOfTinyChunksEndsAtItsDeadline) {
  EndlessSender Sender("1\r\nx\r\n");
  const Instant Start = bootNow();
  const auto Body = readWholeBody(Sender.receiver(), ChunkedBody{},
                                  64U * 1024 * 1024, Start + ReadTime);
  ASSERT_FALSE(Body);
  EXPECT_TRUE(std::holds_alternative<ConnectionFault>(Body.error()))
      << readFaultText(Body.error());
  EXPECT_LT(bootNow() - Start, ReadTime + Slack);
}

TEST(HttpIo, EmptyLinesBeforeARequestAreLimited) {
  EndlessSender Sender("\r\n");
  const Instant Start = bootNow();
  const auto Head = readHead(Sender.receiver(), HeadKind::Request,
                             Start + ReadTime, ReadTime);
  ASSERT_FALSE(Head);
  const auto *Refused = std::get_if<HttpRefusal>(&Head.error());
  ASSERT_NE(Refused, nullptr);
  EXPECT_EQ(Refused->Status, 400);
  EXPECT_LT(bootNow() - Start, ReadTime + Slack);
}

} // namespace
} // namespace siskinstage
