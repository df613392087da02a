#include "core/gossip_codec.h"
#include "core/address.h"
#include "core/record_parser.h"

#include <array>
#include <optional>

namespace siskinstage {

namespace {

constexpr std::size_t MaxNameBytes = 200;
constexpr std::size_t MaxUpdates = 64;
/// Members of the first version end with who suspects them.
constexpr Json::ArrayIndex FirstMemberFields = 7;
constexpr Json::ArrayIndex MemberFields = 9;

tl::unexpected<Error> bad(const std::string &Field) {
  return fail(Step::Forward, "gossip", "field " + Field + " is malformed");
}

Json::Value number(std::uint64_t Value) {
  return Json::Value(static_cast<Json::UInt64>(Value));
}

bool isText(const Json::Value &Value) {
  return Value.isString() && Value.asString().size() <= MaxNameBytes;
}

bool isAddress(const Json::Value &Value) {
  return isText(Value) && parseAddress(Value.asString()).has_value();
}

/// Writes the kind and the fields of a body.
struct BodyWriter {
  Json::Value &Into;

  void operator()(const Ping &Body) const {
    this->Into["k"] = "ping";
    this->Into["s"] = number(Body.Sequence);
  }
  void operator()(const PingRequest &Body) const {
    this->Into["k"] = "request";
    this->Into["s"] = number(Body.Sequence);
    this->Into["t"] = Body.Target.str();
  }
  void operator()(const Ack &Body) const {
    this->Into["k"] = "ack";
    this->Into["s"] = number(Body.Sequence);
  }
  void operator()(const RecordUpdate &Body) const {
    this->Into["k"] = "record";
    this->Into["c"] = static_cast<int>(Body.Key.Kind);
    this->Into["n"] = Body.Key.Name;
    this->Into["r"] = number(Body.Rev.Value);
    this->Into["x"] = Body.Text;
  }
  void operator()(const TargetReport &Body) const {
    this->Into["k"] = "target";
    this->Into["v"] = Body.Service.str();
    this->Into["t"] = Body.Target.str();
    this->Into["w"] = static_cast<int>(Body.Kind);
    this->Into["s"] = Body.Streak;
  }
  void operator()(const GrayEstimateUpdate &Body) const {
    this->Into["k"] = "gray";
    this->Into["v"] = Body.Service.str();
    this->Into["t"] = Body.Target.str();
    this->Into["p"] = Body.Percent;
  }
  void operator()(const CrashReport &Body) const {
    this->Into["k"] = "crash";
    this->Into["s"] = number(Body.Fingerprint.Value);
    this->Into["t"] = Body.Target.str();
  }
};

Result<GossipBody> readRecordUpdate(const Json::Value &Value) {
  constexpr int Kinds = static_cast<int>(RecordKind::Bundle) + 1;
  if (!Value["c"].isInt() || Value["c"].asInt() < 0 ||
      Value["c"].asInt() >= Kinds)
    return bad("c");
  if (!isText(Value["n"]))
    return bad("n");
  if (!Value["r"].isUInt64())
    return bad("r");
  if (!Value["x"].isString())
    return bad("x");
  return RecordUpdate{
      {static_cast<RecordKind>(Value["c"].asInt()), Value["n"].asString()},
      {Value["r"].asUInt64()},
      Value["x"].asString()};
}

Result<GossipBody> readTargetReport(const Json::Value &Value) {
  constexpr int Kinds = static_cast<int>(ReportKind::Ejected) + 1;
  if (!isText(Value["v"]))
    return bad("v");
  if (!isText(Value["t"]))
    return bad("t");
  if (!Value["w"].isInt() || Value["w"].asInt() < 0 ||
      Value["w"].asInt() >= Kinds)
    return bad("w");
  if (!Value["s"].isUInt())
    return bad("s");
  return TargetReport{
      ServiceName(Value["v"].asString()), TargetId(Value["t"].asString()),
      static_cast<ReportKind>(Value["w"].asInt()), Value["s"].asUInt()};
}

Result<GossipBody> readGrayEstimateUpdate(const Json::Value &Value) {
  constexpr unsigned MostPercent = 99;
  if (!isText(Value["v"]))
    return bad("v");
  if (!isText(Value["t"]))
    return bad("t");
  if (!Value["p"].isUInt() || Value["p"].asUInt() < 1 ||
      Value["p"].asUInt() > MostPercent)
    return bad("p");
  return GrayEstimateUpdate{ServiceName(Value["v"].asString()),
                            TargetId(Value["t"].asString()),
                            Value["p"].asUInt()};
}

Result<GossipBody> readBody(const Json::Value &Value) {
  if (!isText(Value["k"]))
    return bad("k");
  const std::string Kind = Value["k"].asString();
  if (Kind == "record")
    return readRecordUpdate(Value);
  if (Kind == "target")
    return readTargetReport(Value);
  if (Kind == "gray")
    return readGrayEstimateUpdate(Value);
  if (!Value["s"].isUInt64())
    return bad("s");
  const std::uint64_t Sequence = Value["s"].asUInt64();
  if (Kind == "ping")
    return Ping{Sequence};
  if (Kind == "ack")
    return Ack{Sequence};
  if (Kind == "crash" && isText(Value["t"]))
    return CrashReport{{Sequence}, TargetId(Value["t"].asString())};
  if (Kind != "request")
    return bad("k");
  if (!isAddress(Value["t"]))
    return bad("t");
  return PingRequest{Sequence, Address(Value["t"].asString())};
}

} // namespace

Json::Value encodeMember(const Member &Each) {
  Json::Value Value(Json::arrayValue);
  Value.append(Each.Endpoint.str());
  Value.append(Each.Id.str());
  Value.append(Each.Domain.str());
  Value.append(number(Each.Process.Value));
  Value.append(number(Each.StateVersion.Value));
  Value.append(static_cast<int>(Each.State));
  Value.append(Each.SuspectedBy.str());
  Value.append(Each.Capacity);
  Value.append(Each.PlatformUnreachable);
  return Value;
}

Result<Member> decodeMember(const Json::Value &Value) {
  const bool First = Value.isArray() && Value.size() == FirstMemberFields;
  if (!First && (!Value.isArray() || Value.size() != MemberFields))
    return bad("member");
  if (!isAddress(Value[0]))
    return bad("member address");
  if (!isText(Value[1]) || !isText(Value[2]) || !isText(Value[6]))
    return bad("member names");
  if (!Value[3].isUInt64() || !Value[4].isUInt64())
    return bad("member numbers");
  if (!Value[5].isInt() || Value[5].asInt() < 0 ||
      Value[5].asInt() > static_cast<int>(MemberState::Left))
    return bad("member state");
  if (!First && (!Value[7].isUInt() || !Value[8].isBool()))
    return bad("member capacity");
  return Member{Address(Value[0].asString()),
                NodeId(Value[1].asString()),
                FailureDomain(Value[2].asString()),
                {Value[3].asUInt64()},
                {Value[4].asUInt64()},
                static_cast<MemberState>(Value[5].asInt()),
                Address(Value[6].asString()),
                First ? 0 : Value[7].asUInt(),
                !First && Value[8].asBool()};
}

Json::Value encodeGossip(const GossipMessage &Message) {
  Json::Value Value(Json::objectValue);
  Value["f"] = encodeMember(Message.From);
  std::visit(BodyWriter{Value}, Message.Body);
  if (!Message.Updates.empty()) {
    Json::Value &Updates = Value["u"] = Json::Value(Json::arrayValue);
    for (const Member &Each : Message.Updates)
      Updates.append(encodeMember(Each));
  }
  Value["d"] = number(Message.RecordsDigest);
  Value["m"] = number(Message.MembersDigest);
  return Value;
}

Result<GossipMessage> decodeGossip(const Json::Value &Value) {
  if (!Value.isObject())
    return bad("(message)");
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
    return bad("u");
  for (const Json::Value &Each : Updates) {
    auto Update = decodeMember(Each);
    if (!Update)
      return tl::unexpected<Error>(Update.error());
    Message.Updates.push_back(std::move(*Update));
  }
  if (!Value["d"].isUInt64() || !Value["m"].isUInt64())
    return bad("digest");
  Message.RecordsDigest = Value["d"].asUInt64();
  Message.MembersDigest = Value["m"].asUInt64();
  return Message;
}

} // namespace siskinstage
