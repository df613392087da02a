#include "node/fleet/confirmation_exchange.h"
#include "core/fleet/confirmation_limits.h"
#include "net/boot_time.h"
#include "node/node_context.h"
#include "node/snapshot.h"

#include <algorithm>

namespace siskinstage {

namespace {

/// \p Age in whole milliseconds, rounded up: a view must not look younger.
Millis roundedUp(Duration Age) { return std::chrono::ceil<Millis>(Age); }

std::string ageText(std::optional<Duration> Age) {
  return Age ? std::to_string(roundedUp(*Age).count()) : "none";
}

} // namespace

std::optional<std::pair<Address, ConfirmationRequest>>
ConfirmationExchange::tick(Instant Now) {
  const auto Current = this->Context.Snapshots.get();
  if (!Current->limitsRevocation()) {
    this->Serving.reset();
    this->LimitedSince = Now;
    this->setWithdrawn(false);
    return std::nullopt;
  }
  const Duration Limit = Current->Fleet.RevocationLimit;
  this->updateServing(Now, Limit);
  this->updateWithdrawn(Now, Limit);
  if (!this->Poll.due(Now) || this->confirmedByReads(Now, Limit))
    return std::nullopt;
  const Settings &Values = this->Context.NodeSettings;
  const auto Request =
      this->Poll.next(planPolls(Values.FleetAddress, Values.Domain,
                                this->Context.Members.load()->Watchers,
                                Current->EntryNodes, Limit, this->Seed),
                      Now);
  if (!Request)
    return std::nullopt;
  ++this->Context.ConfigView.counts().Polls;
  return std::pair(
      Request->Peer,
      ConfirmationRequest{Request->Sequence,
                          this->Context.ConfigView.get().storeRevision()});
}

bool ConfirmationExchange::confirmedByReads(Instant Now, Duration Limit) const {
  const Duration Period = confirmationPeriod(config::WatcherReadPeriod, Limit);
  return Now - this->Context.ConfigView.lastRead() <=
         Period * config::ReadPeriodsToPoll;
}

ConfirmationResponse
ConfirmationExchange::respond(const ConfirmationRequest &Request) {
  return this->Context.ConfigView.with([&](ConfirmedView &View) {
    View.noteStoreRevision(Request.StoreRevision);
    ConfirmationResponse Response;
    Response.Sequence = Request.Sequence;
    Response.Applied = View.applied();
    if (const auto Age = View.age(bootNow()))
      Response.Age = roundedUp(*Age);
    Response.StoreRevision = View.storeRevision();
    return Response;
  });
}

void ConfirmationExchange::handle(const ConfirmationResponse &Response,
                                  const Member &From) {
  const auto SentAt = this->Poll.receive(From.Endpoint, Response.Sequence);
  if (!SentAt)
    return;
  ++this->Context.ConfigView.counts().PollResponses;
  this->LastResponse = bootNow();
  const auto Current = this->Context.Snapshots.get();
  const Duration Limit = Current->Fleet.RevocationLimit;
  if (!Response.Age || *Response.Age > Limit * config::UsefulViewFraction)
    this->Poll.changePeer();
  this->Context.ConfigView.with([&](ConfirmedView &View) {
    View.noteStoreRevision(Response.StoreRevision);
    if (Response.Age)
      View.offer(*SentAt - *Response.Age, Response.Applied);
  });
  const auto &Required = this->Context.NodeSettings.RequiredRecord;
  if (Required &&
      Response.Applied > this->Context.Records.expectedRevision(*Required))
    this->Context.postSyncTask({SyncTask::Kind::OneRecord, From.Endpoint,
                                From.Domain, *Required, Response.Applied});
}

void ConfirmationExchange::updateServing(Instant Now, Duration Limit) {
  const ConfirmedView View = this->Context.ConfigView.get();
  const bool Serves = View.mayServeKeyed(Now, Limit);
  if (this->Serving == Serves)
    return;
  this->Serving = Serves;
  logEvent(Serves ? LogLevel::Info : LogLevel::Warn,
           Serves ? "requests with an API key are served"
                  : "requests with an API key are rejected until the "
                    "configuration is confirmed",
           {{"view_age_ms", ageText(View.age(Now))},
            {"limit_ms",
             std::to_string(std::chrono::duration_cast<Millis>(Limit).count())},
            {"config_revision", std::to_string(View.applied().Value)},
            {"awaits_record", View.awaitsRecord() ? "yes" : "no"}});
}

void ConfirmationExchange::updateWithdrawn(Instant Now, Duration Limit) {
  const ConfirmedView View = this->Context.ConfigView.get();
  const auto Members = this->Context.Members.load();
  // To a node that is cut off, the other nodes seem dead.
  const bool OthersKnown = std::any_of(
      Members->Others.begin(), Members->Others.end(),
      [](const Member &Node) { return Node.State != MemberState::Left; });
  const Duration Silence = confirmationPeriod(config::NodePollPeriod, Limit) *
                           config::PollPeriodsToCutOff;
  const auto Age = View.age(Now);
  // The first responses are due a period after the first accounts are listed.
  const Instant Awaited = Age ? std::max(this->LastResponse, this->LimitedSince)
                              : this->LastResponse;
  // A response that brought no younger view shows that the other nodes' views
  // are as old; without one, they may be younger.
  const bool CutOff = Now - Awaited > Silence;
  this->setWithdrawn(OthersKnown && !View.mayServeKeyed(Now, Limit) &&
                     (CutOff || View.awaitsRecord()));
}

void ConfirmationExchange::setWithdrawn(bool Withdrawn) {
  if (this->Context.ConfigView.withdrawn() == Withdrawn)
    return;
  this->Context.ConfigView.setWithdrawn(Withdrawn);
  this->EntryChanged = true;
  logEvent(LogLevel::Info,
           Withdrawn ? "this node is no entry while its configuration is not "
                       "confirmed"
                     : "this node may be an entry again");
}

} // namespace siskinstage
