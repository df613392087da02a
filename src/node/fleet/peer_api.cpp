#include "node/fleet/peer_api.h"
#include "core/fleet/gossip_codec.h"
#include "core/hex.h"
#include "core/records/revision_codec.h"
#include "net/boot_time.h"
#include "net/compression.h"
#include "net/http_client.h"
#include "net/json_text.h"
#include "net/wall_clock.h"
#include "node/fleet/peer_signature.h"
#include "node/header_names.h"
#include "node/node_context.h"
#include "node/snapshot.h"
#include "siskinstage/config.h"

#include <Poco/NumberParser.h>
#include <Poco/URI.h>
#include <map>

namespace siskinstage {

namespace {

constexpr std::size_t MaxResponseBytes = 64U * 1024 * 1024;
constexpr const char *AcceptEncoding = "Accept-Encoding";
constexpr const char *ContentEncoding = "Content-Encoding";
/// About what one packet holds.
constexpr std::size_t MinCompressedBytes = 1400;
constexpr std::string_view RequestContext = "siskinstage peer question 1 ";
constexpr std::string_view ResponseContext = "siskinstage peer answer 1 ";

/// The bytes that the signature of a response covers; the MAC of the request
/// binds it to that request.
std::string signedResponseBytes(const std::string &RequestMac,
                                const std::string &Body) {
  return std::string(ResponseContext) + RequestMac + " " + Body;
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

Json::Value revisionsValue(NodeContext &Context, const std::string &Number) {
  unsigned Bucket = 0;
  Json::Value List(Json::arrayValue);
  if (!Poco::NumberParser::tryParseUnsigned(Number, Bucket))
    return List;
  for (const auto &[Key, Rev] : Context.Records.bucketRevisions(Bucket)) {
    Json::Value Entry(Json::objectValue);
    Entry["kind"] = recordKindName(Key.Kind);
    Entry["name"] = Key.Name;
    writeRevision(Rev, "revision", Entry);
    List.append(Entry);
  }
  return List;
}

/// The text of a record, or null if it is unknown.
ResponseCache::Text recordText(NodeContext &Context, const std::string &Kind,
                               const std::string &Name) {
  for (const RecordKind Candidate :
       {RecordKind::Service, RecordKind::Route, RecordKind::Account,
        RecordKind::Fleet, RecordKind::Target, RecordKind::Bundle})
    if (Kind == recordKindName(Candidate))
      return Context.Records.text({Candidate, Name});
  return nullptr;
}

bool acceptsDeflate(const CallerRequest &Request) {
  return Request.Head.get(AcceptEncoding, "") == DeflateEncoding;
}

/// A list with the text of one record, or an empty one.
std::string recordList(const ResponseCache::Text &Text) {
  Json::Value List(Json::arrayValue);
  if (Text)
    List.append(*Text);
  return compactJson(List);
}

Json::Value membersValue(NodeContext &Context) {
  Json::Value List(Json::arrayValue);
  // Keeps the view alive during the loop: the gossip thread may replace it.
  const auto View = Context.Members.load();
  for (const Member &Node : View->Live)
    List.append(encodeMember(Node));
  return List;
}

/// The response with \p Body, compressed if that is long and the sender of
/// \p Request accepts it.
StoredResponse pageResponse(const CallerRequest &Request, std::string Body) {
  StoredResponse Response;
  if (!acceptsDeflate(Request) || Body.size() <= MinCompressedBytes) {
    Response.Body = std::move(Body);
    return Response;
  }
  Response.Body = deflate(Body);
  Response.Headers = {{ContentEncoding, DeflateEncoding}};
  return Response;
}

/// The response with one record; a long one is compressed only once.
StoredResponse recordResponse(NodeContext &Context,
                              const CallerRequest &Request,
                              const ResponseCache::Text &Record) {
  if (!Record || Record->size() <= MinCompressedBytes ||
      !acceptsDeflate(Request))
    return pageResponse(Request, recordList(Record));
  StoredResponse Response;
  Response.Body = *Context.PeerResponses.get(
      Record, [&] { return deflate(recordList(Record)); });
  Response.Headers = {{ContentEncoding, DeflateEncoding}};
  return Response;
}

} // namespace

HttpResult<StoredResponse> handlePeerRequest(NodeContext &Context,
                                             const CallerRequest &Request) {
  const auto RequestMac =
      verifyPeerRequest(Request.Head, *Context.NodeSettings.Keys,
                        RequestContext, Request.Head.getURI(), wallClockMs());
  if (!RequestMac)
    return tl::unexpected<HttpRefusal>(RequestMac.error());
  const Poco::URI Uri(Request.Head.getURI());
  std::map<std::string, std::string> Query;
  for (const auto &[Name, Value] : Uri.getQueryParameters())
    Query[Name] = Value;
  const std::string Page =
      Uri.getPath().substr(std::string_view(PeerPathPrefix).size());
  StoredResponse Response;
  if (Page == "digests" && !Context.Snapshots.get()->HasPlatformRecords)
    return refuse(503, "the node does not have the records of the platform");
  if (Page == "digests")
    Response = pageResponse(Request, compactJson(digestsValue(Context)));
  else if (Page == "bucket")
    Response =
        pageResponse(Request, compactJson(bucketValue(Context, Query["n"])));
  else if (Page == "revisions")
    Response =
        pageResponse(Request, compactJson(revisionsValue(Context, Query["n"])));
  else if (Page == "record")
    Response = recordResponse(
        Context, Request, recordText(Context, Query["kind"], Query["name"]));
  else if (Page == "members")
    Response = pageResponse(Request, compactJson(membersValue(Context)));
  else
    return refuse(404, "there is no such page for nodes");
  Response.Status = 200;
  Response.Reason = "OK";
  const std::string Mac = Context.NodeSettings.Keys->sign(
      signedResponseBytes(*RequestMac, Response.Body), PeerMacBytes);
  Response.Headers.emplace_back("Content-Type", "application/json");
  Response.Headers.emplace_back(header::PeerMac, toHex(Mac));
  return Response;
}

Result<Json::Value> queryPeer(NodeContext &Context, const Address &Peer,
                              const std::string &Target) {
  Poco::Net::HTTPRequest Request("GET", Target);
  Request.set(AcceptEncoding, DeflateEncoding);
  const std::string Mac =
      signPeerRequest(Request, *Context.NodeSettings.Keys, RequestContext,
                      Target, wallClockMs());
  const auto Response = sendOnNewConnection(
      Peer, Request, "", MaxResponseBytes, bootNow() + config::PeerCallTimeout);
  if (!Response)
    return tl::unexpected<Error>(Response.error());
  Context.Traffic.SyncBytes += Response->Body.size();
  if (Response->Head.getStatus() != 200)
    return fail(Step::Forward, Peer.str(),
                "status " + std::to_string(Response->Head.getStatus()));
  const auto ResponseMac = fromHex(Response->Head.get(header::PeerMac, ""));
  if (!ResponseMac || ResponseMac->size() != PeerMacBytes ||
      !Context.NodeSettings.Keys->verify(
          signedResponseBytes(Mac, Response->Body), *ResponseMac))
    return fail(Step::Forward, Peer.str(),
                "the response is not signed by a node of this fleet");
  if (Response->Head.get(ContentEncoding, "") != DeflateEncoding)
    return parseJson(Response->Body, Peer.str());
  const auto Body = inflate(Response->Body, MaxResponseBytes, Peer.str());
  if (!Body)
    return tl::unexpected<Error>(Body.error());
  return parseJson(*Body, Peer.str());
}

} // namespace siskinstage
