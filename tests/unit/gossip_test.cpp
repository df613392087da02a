#include "core/fleet/gossip_codec.h"
#include "core/fleet/gossip_seal.h"
#include "core/records/revision_codec.h"
#include "net/json_rpc.h"
#include "siskinstage/config.h"

#include <gtest/gtest.h>

namespace siskinstage {
namespace {

GossipMessage sample(GossipBody Body) {
  GossipMessage Message;
  Message.From = {
      Address("10.0.0.1:80"), NodeId("n1"), FailureDomain("a"), {7}, {3},
      MemberState::Alive,     Address()};
  Message.Body = std::move(Body);
  Message.Updates.push_back(Message.From);
  Message.Updates.back().State = MemberState::Suspect;
  Message.Updates.back().SuspectedBy = Address("10.0.0.2:80");
  Message.RecordsDigest = 0xffffffffffffffffULL;
  Message.MembersDigest = 5;
  return Message;
}

TEST(GossipCodec, EveryBodyTravelsThroughJsonRpc) {
  const GossipBody Bodies[] = {
      Ping{1},
      PingRequest{2, Address("10.0.0.3:80")},
      Ack{3},
      RecordUpdate{{RecordKind::Route, "r"}, {4}, "{}"},
      RecordUpdate{{RecordKind::Route, "r"}, {4, {2}, {9, 5, true}}, "{}"},
      RecordRequest{{}},
      RecordRequest{{0, 7, ~0U}},
      TargetReport{ServiceName("s"), TargetId("t"), ReportKind::Failing, 2},
      GrayEstimateUpdate{ServiceName("s"), TargetId("t"), 93, 450, 60},
      CrashReport{{9}, TargetId("t")},
      RateLimitUpdate{ServiceName("s"), TargetId("t"), {8}, {3, 0.25}},
      ConfirmationRequest{~0ULL, {7}},
      ConfirmationResponse{~0ULL, {6}, Millis(1'250), {7}},
      ConfirmationResponse{1, {6}, std::nullopt, {7}},
      ConfirmationResponse{1, {6, {2}, {0, 5}}, std::nullopt, {7, {2}}},
      QuotaRequest{7, true, true, 900, {{~0ULL, 400'000, 10, 2.5, 30}}},
      QuotaResponse{7, 6, true, 4000, {{~0ULL, 390'000, 1500}}}};
  for (const GossipBody &Body : Bodies) {
    const GossipMessage Sent = sample(Body);
    const std::string Text = gossipNotification(encodeGossip(Sent));
    Json::Value Params;
    ASSERT_TRUE(readGossipNotification(Text, Params)) << Text;
    const auto Decoded = decodeGossip(Params);
    ASSERT_TRUE(Decoded) << Decoded.error().text();
    EXPECT_EQ(Decoded->From, Sent.From);
    EXPECT_EQ(Decoded->Updates, Sent.Updates);
    EXPECT_EQ(Decoded->Body.index(), Body.index());
    EXPECT_EQ(Decoded->RecordsDigest, Sent.RecordsDigest);
    EXPECT_EQ(encodeGossip(*Decoded), encodeGossip(Sent));
  }
}

TEST(GossipCodec, ReadsGrayEstimatesOfEarlierVersions) {
  Json::Value Earlier = encodeGossip(
      sample(GrayEstimateUpdate{ServiceName("s"), TargetId("t"), 93, 450, 60}));
  Earlier.removeMember("a");
  EXPECT_FALSE(decodeGossip(Earlier));
  Earlier.removeMember("l");
  const auto Decoded = decodeGossip(Earlier);
  ASSERT_TRUE(Decoded) << Decoded.error().text();
  EXPECT_EQ(std::get<GrayEstimateUpdate>(Decoded->Body).ArrivalsPerMinute, 0U);
}

/// Fails if a claim beyond the whole, or a loan without end, is taken in.
TEST(GossipCodec, RefusesQuotasOutOfBounds) {
  const Json::Value Valid =
      encodeGossip(sample(QuotaResponse{7, 6, true, 4000, {{1, 2, 3}}}));
  ASSERT_TRUE(decodeGossip(Valid));
  Json::Value Whole = Valid;
  Whole["q"][0][1] = static_cast<Json::Int64>(WholeQuota + 1);
  EXPECT_FALSE(decodeGossip(Whole));
  Json::Value Negative = Valid;
  Negative["q"][0][2] = -1;
  EXPECT_FALSE(decodeGossip(Negative));
  Json::Value Endless = Valid;
  Endless["l"] = 1e12;
  EXPECT_FALSE(decodeGossip(Endless));
}

TEST(GossipCodec, RefusesEachFieldOfTheWrongShape) {
  const Json::Value Valid = encodeGossip(sample(Ping{1}));
  for (const std::string &Field : Valid.getMemberNames()) {
    Json::Value Invalid = Valid;
    Invalid[Field] = Json::Value(Json::objectValue);
    EXPECT_FALSE(decodeGossip(Invalid)) << Field;
  }
  for (const char *Text : {"", "[]", "{}", "null", "{\"jsonrpc\":\"2.0\"}",
                           "{\"jsonrpc\":\"2.0\",\"method\":\"other\"}"}) {
    Json::Value Params;
    EXPECT_FALSE(readGossipNotification(Text, Params)) << Text;
  }
}

TEST(GossipCodec, RefusesRateLimitsOutOfRange) {
  const Json::Value Valid = encodeGossip(
      sample(RateLimitUpdate{ServiceName("s"), TargetId("t"), {8}, {3, 0.25}}));
  ASSERT_TRUE(decodeGossip(Valid));
  for (const double Rate : {-1.0, 1e-9, 1e300}) {
    Json::Value Invalid = Valid;
    Invalid["l"] = Rate;
    EXPECT_FALSE(decodeGossip(Invalid)) << Rate;
  }
  for (const char *Field : {"v", "t", "i", "n", "l"}) {
    Json::Value Invalid = Valid;
    Invalid.removeMember(Field);
    EXPECT_FALSE(decodeGossip(Invalid)) << Field;
  }
}

/// Guards against a malformed age that makes a configuration look newer than it
/// is.
TEST(GossipCodec, RefusesMalformedConfirmations) {
  const Json::Value Request = encodeGossip(sample(ConfirmationRequest{1, {7}}));
  const Json::Value Response =
      encodeGossip(sample(ConfirmationResponse{1, {6}, Millis(5), {7}}));
  ASSERT_TRUE(decodeGossip(Request));
  ASSERT_TRUE(decodeGossip(Response));
  for (const Json::Value &Invalid :
       {Json::Value(-1), Json::Value("1"), Json::Value(1.5), Json::Value(true),
        Json::Value()}) {
    for (const char *Field : {"s", "o"}) {
      Json::Value Changed = Request;
      Changed[Field] = Invalid;
      EXPECT_FALSE(decodeGossip(Changed)) << Field << Invalid.toStyledString();
    }
    for (const char *Field : {"s", "r", "a", "o"}) {
      Json::Value Changed = Response;
      Changed[Field] = Invalid;
      EXPECT_FALSE(decodeGossip(Changed)) << Field << Invalid.toStyledString();
    }
  }
  Json::Value Endless = Response;
  Endless["a"] = static_cast<Json::Int64>(1LL << 62U);
  EXPECT_FALSE(decodeGossip(Endless));
}

/// Guards against an epoch out of range that hides all later returns.
TEST(GossipCodec, RefusesMalformedNoticesOfEpochs) {
  GossipMessage Message = sample(Ping{1});
  Message.Epoch = EpochNotice{{MaxHistoryEpoch}, Millis(250)};
  const Json::Value Valid = encodeGossip(Message);
  const auto Decoded = decodeGossip(Valid);
  ASSERT_TRUE(Decoded) << Decoded.error().text();
  ASSERT_TRUE(Decoded->Epoch);
  EXPECT_EQ(Decoded->Epoch->Epoch, HistoryEpoch{MaxHistoryEpoch});
  EXPECT_EQ(Decoded->Epoch->Age, Millis(250));
  for (const Json::ArrayIndex Field : {0U, 1U})
    for (const Json::Value &Wrong :
         {Json::Value(-1), Json::Value("2"), Json::Value(1e18)}) {
      Json::Value Invalid = Valid;
      Invalid["e"][Field] = Wrong;
      EXPECT_FALSE(decodeGossip(Invalid)) << Field << Wrong.asString();
    }
}

TEST(GossipCodec, AFullMessageFitsIntoADatagram) {
  GossipMessage Message = sample(Ping{1ULL << 40U});
  Message.Updates.assign(config::GossipUpdatesPerMessage + 1,
                         {Address("255.255.255.255:65535"),
                          NodeId("node-with-a-long-name-4300"),
                          FailureDomain("region-1-domain-8"),
                          {~0ULL},
                          {1ULL << 50U},
                          MemberState::Suspect,
                          Address("255.255.255.255:65535")});
  const auto Ring = KeyRing::parse("k:00112233445566778899aabbccddeeff");
  GossipSeal Seal(*Ring, {~0ULL});
  EXPECT_LE(
      Seal.seal(gossipNotification(encodeGossip(Message)), 1ULL << 41U).size(),
      config::MaxDatagramBytes);
}

TEST(GossipSeal, RefusesForgedRepeatedAndOldDatagrams) {
  const auto Ring = KeyRing::parse("k:00112233445566778899aabbccddeeff");
  const auto Other = KeyRing::parse("k:ffeeddccbbaa99887766554433221100");
  GossipSeal Sender(*Ring, {1});
  GossipSeal ForeignSender(*Other, {2});
  GossipSeal Receiver(*Ring, {3});
  const std::uint64_t Now = 1'700'000'000'000;
  const std::string Valid = Sender.seal("hello", Now);
  EXPECT_EQ(*Receiver.open(Valid, Now), "hello");
  EXPECT_FALSE(Receiver.open(Valid, Now));
  EXPECT_FALSE(Receiver.open(ForeignSender.seal("hello", Now), Now));
  EXPECT_FALSE(Receiver.open(Sender.seal("hello", Now), Now + 61'000));
  for (std::size_t I = 0; I < Valid.size(); ++I) {
    std::string Forged = Sender.seal("hello", Now);
    Forged[I] ^= 1;
    EXPECT_FALSE(Receiver.open(Forged, Now)) << I;
  }
  EXPECT_FALSE(Receiver.open("", Now));
}

TEST(GossipSeal, TakesDatagramsOutOfOrderOnce) {
  const auto Ring = KeyRing::parse("k:00112233445566778899aabbccddeeff");
  GossipSeal Sender(*Ring, {1});
  GossipSeal Receiver(*Ring, {3});
  const std::string First = Sender.seal("1", 1000);
  const std::string Second = Sender.seal("2", 1000);
  EXPECT_TRUE(Receiver.open(Second, 1000));
  EXPECT_TRUE(Receiver.open(First, 1000));
  EXPECT_FALSE(Receiver.open(First, 1000));
}

} // namespace
} // namespace siskinstage
