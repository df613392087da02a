#include "core/callers/chunk_decoder.h"
#include "core/callers/http_framing.h"
#include "core/callers/http_guard.h"

#include <gtest/gtest.h>

namespace siskinstage {
namespace {

int statusOf(const std::string &Raw) {
  const auto Head = normalizeHead(Raw, HeadKind::Request);
  return Head ? 200 : Head.error().Status;
}

TEST(HttpGuard, NormalizesToleratedForms) {
  const auto Head = normalizeHead(
      "GET / HTTP/1.1\nHost:  a \r\nX: 1\r\n  2\n\n", HeadKind::Request);
  ASSERT_TRUE(Head);
  EXPECT_EQ(*Head, "GET / HTTP/1.1\r\nHost: a\r\nX: 1 2\r\n\r\n");
}

TEST(HttpGuard, RefusesSmugglingShapes) {
  EXPECT_EQ(statusOf("GET / HTTP/1.1\r\nA : b\r\n\r\n"), 400);
  EXPECT_EQ(statusOf("GET / HTTP/1.1\r\n: b\r\n\r\n"), 400);
  EXPECT_EQ(statusOf("GET / HTTP/1.1\r\n X: b\r\n\r\n"), 400);
  EXPECT_EQ(statusOf("GET / HTTP/1.1\r\nA: b\rc\r\n\r\n"), 400);
  EXPECT_EQ(statusOf(std::string("GET / HTTP/1.1\r\nA: b\0c\r\n\r\n", 26)),
            400);
  EXPECT_EQ(statusOf("GET  / HTTP/1.1\r\n\r\n"), 400);
  EXPECT_EQ(statusOf("GET / HTTP/2.0\r\n\r\n"), 505);
  EXPECT_EQ(statusOf("G=T / HTTP/1.1\r\n\r\n"), 400);
}

TEST(HttpGuard, RefusesStatusCodesThatHttpDoesNotHave) {
  const auto IsAccepted = [](const std::string &Code) {
    return normalizeHead("HTTP/1.1 " + Code + " a\r\n\r\n", HeadKind::Response)
        .has_value();
  };
  for (const char *Invalid : {"000", "001", "099", "600", "999", "20", "2000"})
    EXPECT_FALSE(IsAccepted(Invalid)) << Invalid;
  for (const char *Valid : {"100", "200", "404", "599"})
    EXPECT_TRUE(IsAccepted(Valid)) << Valid;
}

TEST(HttpGuard, RefusesOversizedHeads) {
  std::string Many = "GET / HTTP/1.1\r\n";
  for (int I = 0; I < 101; ++I)
    Many += "A: b\r\n";
  EXPECT_EQ(statusOf(Many + "\r\n"), 431);
  EXPECT_EQ(
      statusOf("GET / HTTP/1.1\r\nA: " + std::string(9000, 'a') + "\r\n\r\n"),
      431);
  EXPECT_EQ(statusOf("GET /" + std::string(9000, 'a') + " HTTP/1.1\r\n\r\n"),
            414);
}

TEST(HttpGuard, RefusesDotSegments) {
  EXPECT_TRUE(checkedPath("/a/b.c/..d?x=/../"));
  for (const char *Invalid :
       {"/a/../b", "/a/%2e%2E/b", "/./a", "/a/..", "/a#b", "a/b", "/a\\b"})
    EXPECT_FALSE(checkedPath(Invalid)) << Invalid;
}

int framingStatus(const FramingFields &Fields) {
  const auto Framing = requestFraming(Fields);
  return Framing ? 200 : Framing.error().Status;
}

TEST(HttpFraming, RefusesConflictingLengths) {
  EXPECT_EQ(framingStatus({{"5", "6"}, {}, false}), 400);
  EXPECT_EQ(framingStatus({{"5, 6"}, {}, false}), 400);
  EXPECT_EQ(framingStatus({{"5"}, {"chunked"}, false}), 400);
  EXPECT_EQ(framingStatus({{}, {"chunked"}, true}), 400);
  EXPECT_EQ(framingStatus({{}, {"gzip, chunked"}, false}), 501);
  EXPECT_EQ(framingStatus({{}, {"chunked", "chunked"}, false}), 501);
  for (const char *Invalid : {"+5", "-1", "0x5", "5 5", "", "5,", "5 5, 55"})
    EXPECT_EQ(framingStatus({{Invalid}, {}, false}), 400) << Invalid;
  EXPECT_EQ(framingStatus({{"99999999999999999999"}, {}, false}), 413);
  EXPECT_EQ(framingStatus({{"5", "5"}, {}, false}), 200);
}

TEST(HttpFraming, RefusesResponsesWithoutLength) {
  EXPECT_FALSE(responseFraming({{}, {}, false}, "GET", 200));
  EXPECT_TRUE(responseFraming({{}, {}, false}, "HEAD", 200));
  EXPECT_TRUE(responseFraming({{}, {}, false}, "GET", 204));
}

/// Decodes \p Text in pieces of \p Size bytes.
/// \returns the body, "refused" if it is malformed, or "incomplete".
std::string decode(const std::string &Text, std::size_t Size) {
  ChunkDecoder Decoder;
  std::string Body;
  for (std::size_t Position = 0; Position < Text.size(); Position += Size) {
    std::string_view Piece = std::string_view(Text).substr(Position, Size);
    while (!Piece.empty() && !Decoder.done()) {
      const auto Step = Decoder.step(Piece);
      if (!Step)
        return "refused";
      Body += Step->Data;
      Piece.remove_prefix(Step->Consumed);
    }
  }
  return Decoder.done() ? Body : "incomplete";
}

TEST(ChunkDecoder, DecodesInAnyPieces) {
  const std::string Text = "5;x=y\r\nhello\r\n1\r\n!\r\n0\r\nT: v\r\n\r\n";
  for (std::size_t Size = 1; Size <= Text.size(); ++Size)
    EXPECT_EQ(decode(Text, Size), "hello!") << Size;
}

TEST(ChunkDecoder, RefusesMalformedChunks) {
  for (const char *Invalid :
       {"x\r\n", "\r\n", "-1\r\n", "5\nhello\r\n", "5\r\nhelloX\r\n",
        "1000000000000000f\r\n", "0x5\r\nhello\r\n", "5 \r\nhello\r\n"})
    EXPECT_EQ(decode(Invalid, 3), "refused") << Invalid;
}

TEST(ChunkDecoder, ReportsTruncatedBodyAsIncomplete) {
  EXPECT_EQ(decode("5\r\nhel", 4), "incomplete");
  EXPECT_EQ(decode("5\r\nhello\r\n0\r\n", 4), "incomplete");
}

} // namespace
} // namespace siskinstage
