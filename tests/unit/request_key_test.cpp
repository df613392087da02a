#include "core/requests/request_key.h"

#include <gtest/gtest.h>

namespace siskinstage {
namespace {

constexpr const char *OldKey = "k1:00112233445566778899aabbccddeeff";
constexpr const char *NewKey = "k2:ffeeddccbbaa99887766554433221100";

KeyPrefix samplePrefix() {
  return {*parseAddress("10.0.0.1:8080"), {0x1234567890abcdefULL}, {7}};
}

TEST(RequestKey, ReadsWhatItWrote) {
  const auto Ring = KeyRing::parse(OldKey);
  ASSERT_TRUE(Ring);
  const std::string Text = formatKeyPrefix(samplePrefix(), *Ring) + ".order-1";
  const auto Key = parseRequestKey(Text, *Ring);
  ASSERT_TRUE(Key);
  EXPECT_EQ(Key->Prefix, samplePrefix());
  EXPECT_EQ(Key->Text, Text);
}

TEST(RequestKey, RefusesForgedPrefixes) {
  const auto Ring = KeyRing::parse(OldKey);
  std::string Text = formatKeyPrefix(samplePrefix(), *Ring) + ".x";
  for (std::size_t I = 0; I < Text.size() - 2; ++I) {
    std::string Forged = Text;
    Forged[I] = Forged[I] == '0' ? '1' : '0';
    EXPECT_FALSE(parseRequestKey(Forged, *Ring)) << I;
  }
  EXPECT_FALSE(parseRequestKey("", *Ring));
  EXPECT_FALSE(parseRequestKey(Text.substr(0, Text.size() - 1), *Ring));
  EXPECT_FALSE(parseRequestKey(Text + std::string(200, 'a'), *Ring));
}

TEST(RequestKey, OutlivesAKeyRotation) {
  const auto Before = KeyRing::parse(OldKey);
  const auto During = KeyRing::parse(std::string(NewKey) + "," + OldKey);
  const auto After = KeyRing::parse(NewKey);
  const std::string Text = formatKeyPrefix(samplePrefix(), *Before) + ".x";
  EXPECT_TRUE(parseRequestKey(Text, *During));
  EXPECT_FALSE(parseRequestKey(Text, *After));
}

TEST(KeyRing, NamesTheKeyAtFault) {
  EXPECT_FALSE(KeyRing::parse(""));
  const auto Short = KeyRing::parse("k9:0011");
  ASSERT_FALSE(Short);
  EXPECT_NE(Short.error().text().find("k9"), std::string::npos);
}

} // namespace
} // namespace siskinstage
