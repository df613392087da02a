#include "node/owner_forward.h"
#include "net/boot_time.h"
#include "node/header_names.h"
#include "node/node_context.h"
#include "siskinstage/config.h"

namespace siskinstage {

namespace {

/// A relay whose own forward failed answers with this status and `unknown`;
/// another path is worth trying.
bool failedAtRelay(const StoredResponse &Answer, const std::string &Step) {
  return Answer.Status == 502 &&
         Answer.Body.find("\"step\":\"" + Step + "\"") != std::string::npos;
}

} // namespace

OwnerForward::OwnerForward(NodeContext &Context, const CallerRequest &Request,
                           RequestBody &Body, const Snapshot &Now,
                           Instant Deadline)
    : Context(Context), Request(Request), Body(Body), Now(Now),
      Deadline(Deadline) {}

std::vector<Address> OwnerForward::relays(const Address &Owner) const {
  std::vector<Address> Relays;
  // A relay goes to the owner itself, never over a third node.
  if (this->Request.Hops + 1 >= config::MaxForwardHops)
    return Relays;
  auto Order =
      accountEntries(this->Now.LiveNodes, AccountName(this->Request.Id.str()),
                     config::MaxRelayPeers + 2);
  for (const SteeringNode &Node : Order)
    if (Node.Endpoint != Owner &&
        Node.Endpoint != this->Context.NodeSettings.FleetAddress &&
        Relays.size() < config::MaxRelayPeers)
      Relays.push_back(Node.Endpoint);
  return Relays;
}

std::unique_ptr<TargetExchange> OwnerForward::tryVia(const Address &Next) {
  const Instant Limit =
      std::min(this->Deadline, bootNow() + config::ConnectTimeout);
  auto Connection = Wire::connect(Next, Limit);
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
  ExchangeOrder Order;
  Order.Head = Head;
  Order.Body = &this->Body;
  Order.Deadline = this->Deadline;
  const Instant Now = bootNow();
  auto Exchange = std::make_unique<TargetExchange>(
      PooledConnection{std::move(*Connection), Now, Now, false},
      std::move(Order));
  Exchange->ignoreEcho();
  const auto Ran = Exchange->run();
  const auto Held = Ran ? Exchange->holdBody(config::ReplayBufferBytes) : Ran;
  if (Held)
    return Exchange;
  this->LastReason = Held.error().Attempt.Reason;
  return nullptr;
}

tl::expected<std::unique_ptr<TargetExchange>, Refusal>
OwnerForward::run(const Address &Owner) {
  if (this->Request.Hops < config::MaxForwardHops) {
    auto Direct = this->tryVia(Owner);
    if (Direct)
      return Direct;
    for (const Address &Relay : this->relays(Owner)) {
      if (!this->Body.replayable() ||
          timeLeft(this->Deadline) == Duration::zero())
        break;
      auto Relayed = this->tryVia(Relay);
      if (Relayed && !failedAtRelay(Relayed->answer(), stepName(Step::Forward)))
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
