#include "node/requests/owner_forward.h"
#include "net/boot_time.h"
#include "net/wall_clock.h"
#include "node/header_names.h"
#include "node/node_context.h"
#include "node/requests/forwarded_key.h"
#include "siskinstage/config.h"

namespace siskinstage {

namespace {

/// Whether a relay responded that its own forward failed. Another relay may
/// still reach the owner.
bool failedAtRelay(const StoredResponse &Response, const std::string &Step) {
  return Response.Status == 502 &&
         Response.Body.find("\"step\":\"" + Step + "\"") != std::string::npos;
}

} // namespace

OwnerForward::OwnerForward(NodeContext &Context, const CallerRequest &Request,
                           RequestBody &Body, const Snapshot &Current,
                           Instant Deadline,
                           const std::optional<KeyDigest> &ApiKey)
    : Context(Context), Request(Request), Body(Body), Current(Current),
      Deadline(Deadline), ApiKey(ApiKey) {}

std::vector<Address> OwnerForward::relays(const Address &Owner) const {
  std::vector<Address> Relays;
  // A relay forwards to the owner only, never through another relay.
  if (this->Request.Hops + 1 >= config::MaxForwardHops)
    return Relays;
  auto Peers = accountEntries(this->Current.LiveNodes,
                              AccountName(this->Request.Id.str()),
                              config::MaxRelayPeers + 2);
  for (const SteeringNode &Node : Peers)
    if (Node.Endpoint != Owner &&
        Node.Endpoint != this->Context.NodeSettings.FleetAddress &&
        Relays.size() < config::MaxRelayPeers)
      Relays.push_back(Node.Endpoint);
  return Relays;
}

std::unique_ptr<TargetExchange> OwnerForward::forwardTo(const Address &Next) {
  const Instant Limit = std::min(this->Context.Drain.waitLimit(this->Deadline),
                                 bootNow() + config::ConnectTimeout);
  auto Connection = TcpConnection::connect(Next, Limit);
  if (!Connection) {
    this->LastReason = Connection.error().Reason;
    return nullptr;
  }
  Poco::Net::HTTPRequest Head = this->Request.Head;
  dropHopHeaders(Head);
  Head.erase("Content-Length");
  Head.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
  Head.set(header::Hops, std::to_string(this->Request.Hops + 1));
  Head.setKeepAlive(false);
  replaceKeyByDigest(Head, this->ApiKey,
                     this->Context.NodeSettings.HeaderDialect,
                     *this->Context.NodeSettings.Keys, wallClockMs());
  ExchangeParams Params;
  Params.Head = Head;
  Params.Body = &this->Body;
  Params.Deadline = this->Deadline;
  Params.WaitsEnd = this->Context.Drain.waitsEnd();
  const Instant Now = bootNow();
  auto Exchange = std::make_unique<TargetExchange>(
      PooledConnection{std::move(*Connection), Now, Now, false},
      std::move(Params));
  Exchange->ignoreRequestId();
  const auto Sent = Exchange->run();
  const auto Received =
      Sent ? Exchange->bufferBody(config::ReplayBufferBytes) : Sent;
  if (Received)
    return Exchange;
  this->LastReason = Received.error().Attempt.Reason;
  return nullptr;
}

tl::expected<std::unique_ptr<TargetExchange>, Refusal>
OwnerForward::run(const Address &Owner) {
  if (this->Request.Hops < config::MaxForwardHops) {
    auto Direct = this->forwardTo(Owner);
    if (Direct)
      return Direct;
    for (const Address &Relay : this->relays(Owner)) {
      if (!this->Body.replayable() || timeLeft(this->Context.Drain.waitLimit(
                                          this->Deadline)) == Duration::zero())
        break;
      auto Relayed = this->forwardTo(Relay);
      if (Relayed &&
          !failedAtRelay(Relayed->response(), stepName(Step::Forward)))
        return Relayed;
    }
  } else {
    this->LastReason = "the request was forwarded too often";
  }
  return tl::unexpected<Refusal>(
      Refusal{502,
              Outcome::Unknown,
              {Step::Forward, Owner.str(),
               "the owner of the key can't be reached: " + this->LastReason},
              std::nullopt});
}

} // namespace siskinstage
