#include "core/fleet/gossip_codec.h"
#include "core/address.h"
#include "core/fleet/quota_codec.h"
#include "core/records/record_parser.h"
#include "core/records/revision_codec.h"
#include "siskinstage/config.h"

#include <array>
#include <optional>

namespace siskinstage {

namespace {

constexpr std::size_t MaxNameBytes = 200;
constexpr std::size_t MaxUpdates = 64;
constexpr const char *RecordRequestKind = "lacking";
/// No machine runs longer without a restart; larger values would overflow.
constexpr Millis MaxAge = std::chrono::years(100);
/// The first version has no capacity and no flag for an unreachable platform.
constexpr Json::ArrayIndex FirstVersionMemberFields = 7;
constexpr Json::ArrayIndex MemberFields = 9;

tl::unexpected<Error> malformed(const std::string &Field) {
  return fail(Step::Forward, "gossip", "field " + Field + " is malformed");
}

Json::Value toJson(std::uint64_t Value) {
  return Json::Value(static_cast<Json::UInt64>(Value));
}

bool isText(const Json::Value &Value) {
  return Value.isString() && Value.asString().size() <= MaxNameBytes;
}

bool isAddress(const Json::Value &Value) {
  return isText(Value) && parseAddress(Value.asString()).has_value();
}

/// Writes the kind and the fields of a message body.
struct BodyWriter {
  Json::Value &Output;

  void operator()(const Ping &Body) const {
    this->Output["k"] = "ping";
    this->Output["s"] = toJson(Body.Sequence);
  }
  void operator()(const PingRequest &Body) const {
    this->Output["k"] = "request";
    this->Output["s"] = toJson(Body.Sequence);
    this->Output["t"] = Body.Target.str();
  }
  void operator()(const Ack &Body) const {
    this->Output["k"] = "ack";
    this->Output["s"] = toJson(Body.Sequence);
  }
  void operator()(const RecordUpdate &Body) const {
    this->Output["k"] = "record";
    this->Output["c"] = static_cast<int>(Body.Key.Kind);
    this->Output["n"] = Body.Key.Name;
    writeRevision(Body.Rev, "r", this->Output);
    this->Output["x"] = Body.Text;
  }
  void operator()(const RecordRequest &Body) const {
    this->Output["k"] = RecordRequestKind;
    Json::Value &Known = this->Output["l"] = Json::Value(Json::arrayValue);
    for (const std::uint32_t Mark : Body.Known)
      Known.append(Mark);
  }
  void operator()(const TargetReport &Body) const {
    this->Output["k"] = "target";
    this->Output["v"] = Body.Service.str();
    this->Output["t"] = Body.Target.str();
    this->Output["w"] = static_cast<int>(Body.Kind);
    this->Output["s"] = Body.Streak;
  }
  void operator()(const GrayEstimateUpdate &Body) const {
    this->Output["k"] = "gray";
    this->Output["v"] = Body.Service.str();
    this->Output["t"] = Body.Target.str();
    this->Output["p"] = Body.Percent;
    this->Output["a"] = Body.ArrivalsPerMinute;
    this->Output["l"] = Body.UnservedPerMinute;
  }
  void operator()(const RateLimitUpdate &Body) const {
    this->Output["k"] = "limit";
    this->Output["v"] = Body.Service.str();
    this->Output["t"] = Body.Target.str();
    this->Output["i"] = toJson(Body.Process.Value);
    this->Output["n"] = toJson(Body.State.Version);
    this->Output["l"] = Body.State.PerSecond;
  }
  void operator()(const ConfirmationRequest &Body) const {
    this->Output["k"] = "confirm";
    this->Output["s"] = toJson(Body.Sequence);
    writeRevision(Body.StoreRevision, "o", this->Output);
  }
  void operator()(const ConfirmationResponse &Body) const {
    this->Output["k"] = "confirmed";
    this->Output["s"] = toJson(Body.Sequence);
    writeRevision(Body.Applied, "r", this->Output);
    if (Body.Age)
      this->Output["a"] = static_cast<Json::Int64>(Body.Age->count());
    writeRevision(Body.StoreRevision, "o", this->Output);
  }
  void operator()(const QuotaRequest &Body) const {
    writeQuota(Body, this->Output);
  }
  void operator()(const QuotaResponse &Body) const {
    writeQuota(Body, this->Output);
  }
  void operator()(const CrashReport &Body) const {
    this->Output["k"] = "crash";
    this->Output["s"] = toJson(Body.Fingerprint.Value);
    this->Output["t"] = Body.Target.str();
  }
};

Result<GossipBody> readRecordUpdate(const Json::Value &Value) {
  constexpr int KindCount = static_cast<int>(RecordKind::Bundle) + 1;
  if (!Value["c"].isInt() || Value["c"].asInt() < 0 ||
      Value["c"].asInt() >= KindCount)
    return malformed("c");
  if (!isText(Value["n"]))
    return malformed("n");
  const auto Rev = readRevision(Value, "r");
  if (!Rev)
    return malformed("r");
  if (!Value["x"].isString())
    return malformed("x");
  return RecordUpdate{
      {static_cast<RecordKind>(Value["c"].asInt()), Value["n"].asString()},
      *Rev,
      Value["x"].asString()};
}

Result<GossipBody> readRecordRequest(const Json::Value &Value) {
  const Json::Value &Known = Value["l"];
  if (!Known.isArray() || Known.size() > config::MaxRecordMarks)
    return malformed("l");
  RecordRequest Request;
  for (const Json::Value &Mark : Known) {
    if (!Mark.isUInt())
      return malformed("l");
    Request.Known.push_back(Mark.asUInt());
  }
  return Request;
}

Result<GossipBody> readTargetReport(const Json::Value &Value) {
  constexpr int KindCount = static_cast<int>(ReportKind::Ejected) + 1;
  if (!isText(Value["v"]))
    return malformed("v");
  if (!isText(Value["t"]))
    return malformed("t");
  if (!Value["w"].isInt() || Value["w"].asInt() < 0 ||
      Value["w"].asInt() >= KindCount)
    return malformed("w");
  if (!Value["s"].isUInt())
    return malformed("s");
  return TargetReport{
      ServiceName(Value["v"].asString()), TargetId(Value["t"].asString()),
      static_cast<ReportKind>(Value["w"].asInt()), Value["s"].asUInt()};
}

Result<GossipBody> readGrayEstimateUpdate(const Json::Value &Value) {
  constexpr unsigned MaxPercent = 99;
  if (!isText(Value["v"]))
    return malformed("v");
  if (!isText(Value["t"]))
    return malformed("t");
  if (!Value["p"].isUInt() || Value["p"].asUInt() < 1 ||
      Value["p"].asUInt() > MaxPercent)
    return malformed("p");
  GrayEstimateUpdate Update{ServiceName(Value["v"].asString()),
                            TargetId(Value["t"].asString()),
                            Value["p"].asUInt()};
  // Nodes of earlier versions don't tell their load.
  if (!Value.isMember("a") && !Value.isMember("l"))
    return Update;
  if (!Value["a"].isUInt())
    return malformed("a");
  if (!Value["l"].isUInt())
    return malformed("l");
  Update.ArrivalsPerMinute = Value["a"].asUInt();
  Update.UnservedPerMinute = Value["l"].asUInt();
  return Update;
}

Result<GossipBody> readRateLimitUpdate(const Json::Value &Value) {
  if (!isText(Value["v"]))
    return malformed("v");
  if (!isText(Value["t"]))
    return malformed("t");
  if (!Value["i"].isUInt64())
    return malformed("i");
  if (!Value["n"].isUInt64())
    return malformed("n");
  const double Rate = Value["l"].isNumeric() ? Value["l"].asDouble() : -1;
  if (Rate != 0 &&
      !(Rate >= config::MinTargetRate && Rate <= config::MaxTargetRate))
    return malformed("l");
  return RateLimitUpdate{ServiceName(Value["v"].asString()),
                         TargetId(Value["t"].asString()),
                         {Value["i"].asUInt64()},
                         {Value["n"].asUInt64(), Rate}};
}

Result<GossipBody> readConfirmationRequest(const Json::Value &Value) {
  if (!Value["s"].isUInt64())
    return malformed("s");
  const auto StoreRevision = readRevision(Value, "o");
  if (!StoreRevision)
    return malformed("o");
  return ConfirmationRequest{Value["s"].asUInt64(), *StoreRevision};
}

Result<GossipBody> readConfirmationResponse(const Json::Value &Value) {
  if (!Value["s"].isUInt64())
    return malformed("s");
  const auto Applied = readRevision(Value, "r");
  if (!Applied)
    return malformed("r");
  const auto StoreRevision = readRevision(Value, "o");
  if (!StoreRevision)
    return malformed("o");
  ConfirmationResponse Response = {Value["s"].asUInt64(), *Applied,
                                   std::nullopt, *StoreRevision};
  if (!Value.isMember("a"))
    return Response;
  if (!Value["a"].isInt64() || Value["a"].asInt64() < 0 ||
      Value["a"].asInt64() > MaxAge.count())
    return malformed("a");
  Response.Age = Millis(Value["a"].asInt64());
  return Response;
}

Result<GossipBody> readBody(const Json::Value &Value) {
  if (!isText(Value["k"]))
    return malformed("k");
  const std::string Kind = Value["k"].asString();
  if (Kind == "record")
    return readRecordUpdate(Value);
  if (Kind == RecordRequestKind)
    return readRecordRequest(Value);
  if (Kind == "target")
    return readTargetReport(Value);
  if (Kind == "gray")
    return readGrayEstimateUpdate(Value);
  if (Kind == "limit")
    return readRateLimitUpdate(Value);
  if (Kind == "confirm")
    return readConfirmationRequest(Value);
  if (Kind == "confirmed")
    return readConfirmationResponse(Value);
  if (Kind == QuotaRequestKind)
    return readQuotaRequest(Value);
  if (Kind == QuotaResponseKind)
    return readQuotaResponse(Value);
  if (!Value["s"].isUInt64())
    return malformed("s");
  const std::uint64_t Sequence = Value["s"].asUInt64();
  if (Kind == "ping")
    return Ping{Sequence};
  if (Kind == "ack")
    return Ack{Sequence};
  if (Kind == "crash" && isText(Value["t"]))
    return CrashReport{{Sequence}, TargetId(Value["t"].asString())};
  if (Kind != "request")
    return malformed("k");
  if (!isAddress(Value["t"]))
    return malformed("t");
  return PingRequest{Sequence, Address(Value["t"].asString())};
}

Json::Value encodeNotice(const EpochNotice &Notice) {
  Json::Value Value(Json::arrayValue);
  Value.append(toJson(Notice.Epoch.Value));
  Value.append(toJson(static_cast<std::uint64_t>(
      std::chrono::duration_cast<Millis>(Notice.Age).count())));
  return Value;
}

/// \returns nothing if \p Value is malformed.
std::optional<EpochNotice> decodeNotice(const Json::Value &Value) {
  if (!Value.isArray() || Value.size() != 2 || !Value[0].isUInt64() ||
      Value[0].asUInt64() > MaxHistoryEpoch || !Value[1].isUInt64() ||
      Value[1].asUInt64() > static_cast<std::uint64_t>(MaxAge.count()))
    return std::nullopt;
  return EpochNotice{{Value[0].asUInt64()},
                     Millis(static_cast<Millis::rep>(Value[1].asUInt64()))};
}

} // namespace

Json::Value encodeMember(const Member &Node) {
  Json::Value Value(Json::arrayValue);
  Value.append(Node.Endpoint.str());
  Value.append(Node.Id.str());
  Value.append(Node.Domain.str());
  Value.append(toJson(Node.Process.Value));
  Value.append(toJson(Node.StateVersion.Value));
  Value.append(static_cast<int>(Node.State));
  Value.append(Node.SuspectedBy.str());
  Value.append(Node.Capacity);
  Value.append(Node.PlatformUnreachable);
  return Value;
}

Result<Member> decodeMember(const Json::Value &Value) {
  const bool FirstVersion =
      Value.isArray() && Value.size() == FirstVersionMemberFields;
  if (!FirstVersion && (!Value.isArray() || Value.size() != MemberFields))
    return malformed("member");
  if (!isAddress(Value[0]))
    return malformed("member address");
  if (!isText(Value[1]) || !isText(Value[2]) || !isText(Value[6]))
    return malformed("member names");
  if (!Value[3].isUInt64() || !Value[4].isUInt64())
    return malformed("member numbers");
  if (!Value[5].isInt() || Value[5].asInt() < 0 ||
      Value[5].asInt() > static_cast<int>(MemberState::Left))
    return malformed("member state");
  if (!FirstVersion && (!Value[7].isUInt() || !Value[8].isBool()))
    return malformed("member capacity");
  return Member{Address(Value[0].asString()),
                NodeId(Value[1].asString()),
                FailureDomain(Value[2].asString()),
                {Value[3].asUInt64()},
                {Value[4].asUInt64()},
                static_cast<MemberState>(Value[5].asInt()),
                Address(Value[6].asString()),
                FirstVersion ? 0 : Value[7].asUInt(),
                !FirstVersion && Value[8].asBool()};
}

Json::Value encodeGossip(const GossipMessage &Message) {
  Json::Value Value(Json::objectValue);
  Value["f"] = encodeMember(Message.From);
  std::visit(BodyWriter{Value}, Message.Body);
  if (!Message.Updates.empty()) {
    Json::Value &Updates = Value["u"] = Json::Value(Json::arrayValue);
    for (const Member &Update : Message.Updates)
      Updates.append(encodeMember(Update));
  }
  Value["d"] = toJson(Message.RecordsDigest);
  Value["m"] = toJson(Message.MembersDigest);
  if (Message.Epoch)
    Value["e"] = encodeNotice(*Message.Epoch);
  return Value;
}

Result<GossipMessage> decodeGossip(const Json::Value &Value) {
  if (!Value.isObject())
    return malformed("(message)");
  GossipMessage Message;
  auto From = decodeMember(Value["f"]);
  if (!From)
    return tl::unexpected<Error>(From.error());
  Message.From = std::move(*From);
  auto Body = readBody(Value);
  if (!Body)
    return tl::unexpected<Error>(Body.error());
  Message.Body = std::move(*Body);
  const Json::Value &Updates = Value["u"];
  if (!Updates.isNull() && (!Updates.isArray() || Updates.size() > MaxUpdates))
    return malformed("u");
  for (const Json::Value &Encoded : Updates) {
    auto Update = decodeMember(Encoded);
    if (!Update)
      return tl::unexpected<Error>(Update.error());
    Message.Updates.push_back(std::move(*Update));
  }
  if (!Value["d"].isUInt64() || !Value["m"].isUInt64())
    return malformed("digest");
  Message.RecordsDigest = Value["d"].asUInt64();
  Message.MembersDigest = Value["m"].asUInt64();
  if (Value.isMember("e")) {
    Message.Epoch = decodeNotice(Value["e"]);
    if (!Message.Epoch)
      return malformed("e");
  }
  return Message;
}

} // namespace siskinstage
