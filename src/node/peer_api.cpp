#include "node/peer_api.h"
#include "core/gossip_codec.h"
#include "core/hex.h"
#include "net/boot_time.h"
#include "net/http_client.h"
#include "net/json_text.h"
#include "net/wall_clock.h"
#include "node/header_names.h"
#include "node/node_context.h"
#include "siskinstage/config.h"

#include <Poco/NumberParser.h>
#include <Poco/URI.h>
#include <map>

namespace siskinstage {

namespace {

constexpr std::size_t MacBytes = 16;
constexpr std::size_t MaxAnswerBytes = 64U * 1024 * 1024;
constexpr std::string_view QuestionContext = "siskinstage peer question 1 ";
constexpr std::string_view AnswerContext = "siskinstage peer answer 1 ";

/// What the signature of a question covers.
std::string questionBytes(const std::string &Time, const std::string &Target) {
  return std::string(QuestionContext) + Time + " " + Target;
}

std::string answerBytes(const std::string &QuestionMac,
                        const std::string &Body) {
  return std::string(AnswerContext) + QuestionMac + " " + Body;
}

HttpResult<std::string> checkedQuestion(NodeContext &Context,
                                        const CallerRequest &Request) {
  const std::string Time = Request.Head.get(header::PeerTime, "");
  const std::string Mac = Request.Head.get(header::PeerMac, "");
  const auto MacValue = fromHex(Mac);
  Poco::UInt64 Stamp = 0;
  if (!MacValue || MacValue->size() != MacBytes ||
      !Poco::NumberParser::tryParseUnsigned64(Time, Stamp) ||
      !Context.NodeSettings.Keys->verify(
          questionBytes(Time, Request.Head.getURI()), *MacValue))
    return refuse(403, "the question is not signed by a node of this fleet");
  const std::uint64_t Now = wallClockMs();
  const std::uint64_t Apart = Stamp > Now ? Stamp - Now : Now - Stamp;
  if (Apart > static_cast<std::uint64_t>(config::GossipClockTolerance.count()))
    return refuse(403, "the question's time is too far off");
  return Mac;
}

Json::Value digestsValue(NodeContext &Context) {
  Json::Value List(Json::arrayValue);
  for (const std::uint64_t Digest : Context.Records.bucketDigests())
    List.append(static_cast<Json::UInt64>(Digest));
  return List;
}

Json::Value bucketValue(NodeContext &Context, const std::string &Number) {
  unsigned Bucket = 0;
  Json::Value List(Json::arrayValue);
  if (!Poco::NumberParser::tryParseUnsigned(Number, Bucket))
    return List;
  for (const auto &Text : Context.Records.bucketTexts(Bucket))
    List.append(*Text);
  return List;
}

Json::Value recordValue(NodeContext &Context, const std::string &Kind,
                        const std::string &Name) {
  Json::Value List(Json::arrayValue);
  for (const RecordKind Each :
       {RecordKind::Service, RecordKind::Route, RecordKind::Account,
        RecordKind::Fleet, RecordKind::Target, RecordKind::Bundle})
    if (Kind == recordKindName(Each))
      if (const auto Text = Context.Records.text({Each, Name}))
        List.append(*Text);
  return List;
}

Json::Value membersValue(NodeContext &Context) {
  Json::Value List(Json::arrayValue);
  // Held for as long as the loop runs: the gossip thread swaps in a new one.
  const auto View = Context.Members.load();
  for (const Member &Each : View->Live)
    List.append(encodeMember(Each));
  return List;
}

} // namespace

HttpResult<StoredAnswer> handlePeerRequest(NodeContext &Context,
                                           const CallerRequest &Request) {
  const auto QuestionMac = checkedQuestion(Context, Request);
  if (!QuestionMac)
    return tl::unexpected<HttpRefusal>(QuestionMac.error());
  const Poco::URI Uri(Request.Head.getURI());
  std::map<std::string, std::string> Query;
  for (const auto &[Name, Value] : Uri.getQueryParameters())
    Query[Name] = Value;
  const std::string Page =
      Uri.getPath().substr(std::string_view(PeerPathPrefix).size());
  Json::Value Value;
  if (Page == "digests")
    Value = digestsValue(Context);
  else if (Page == "bucket")
    Value = bucketValue(Context, Query["n"]);
  else if (Page == "record")
    Value = recordValue(Context, Query["kind"], Query["name"]);
  else if (Page == "members")
    Value = membersValue(Context);
  else
    return refuse(404, "there is no such page for nodes");
  StoredAnswer Answer;
  Answer.Status = 200;
  Answer.Reason = "OK";
  Answer.Body = compactJson(Value);
  const std::string Mac = Context.NodeSettings.Keys->sign(
      answerBytes(*QuestionMac, Answer.Body), MacBytes);
  Answer.Headers = {{"Content-Type", "application/json"},
                    {header::PeerMac, toHex(Mac)}};
  return Answer;
}

Result<Json::Value> queryPeer(NodeContext &Context, const Address &Peer,
                              const std::string &Target) {
  const std::string Time = std::to_string(wallClockMs());
  const std::string Mac = toHex(
      Context.NodeSettings.Keys->sign(questionBytes(Time, Target), MacBytes));
  Poco::Net::HTTPRequest Request("GET", Target);
  Request.set(header::PeerTime, Time);
  Request.set(header::PeerMac, Mac);
  const auto Answer = callOnce(Peer, Request, "", MaxAnswerBytes,
                               bootNow() + config::PeerCallTimeout);
  if (!Answer)
    return tl::unexpected<Error>(Answer.error());
  Context.Traffic.SyncBytes += Answer->Body.size();
  if (Answer->Head.getStatus() != 200)
    return fail(Step::Forward, Peer.str(),
                "status " + std::to_string(Answer->Head.getStatus()));
  const auto AnswerMac = fromHex(Answer->Head.get(header::PeerMac, ""));
  if (!AnswerMac || AnswerMac->size() != MacBytes ||
      !Context.NodeSettings.Keys->verify(answerBytes(Mac, Answer->Body),
                                         *AnswerMac))
    return fail(Step::Forward, Peer.str(),
                "the answer is not signed by a node of this fleet");
  return parseJson(Answer->Body, Peer.str());
}

} // namespace siskinstage
