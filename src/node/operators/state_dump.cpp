#include "node/operators/state_dump.h"
#include "core/requests/account_directory.h"
#include "net/boot_time.h"
#include "node/node_context.h"
#include "node/snapshot.h"
#include "node/targets/service_gate.h"
#include "node/targets/target_gauge.h"

namespace siskinstage {

namespace {

Json::Value targetDump(const ServiceView &Service, const TargetView &Target) {
  ServiceGate &Gate = *Service.Gate;
  const ConnectionPool::Stats Pool = Target.Gauge->Pool.stats();
  Json::Value Dump(Json::objectValue);
  Dump["id"] = Target.Spec.Id.str();
  Dump["address"] = Target.Spec.Endpoint.str();
  Dump["domain"] = Target.Spec.Domain.str();
  Dump["state"] = Target.Verdict.Leaving
                      ? "leaving"
                      : targetStateName(Target.Verdict.State);
  Dump["admitted"] = Target.Verdict.Admitted;
  Dump["kept_by_floor"] = Target.Verdict.KeptByFloor;
  Dump["ejected_by_group"] = Target.Verdict.ByGroup;
  Dump["share"] = Target.Verdict.Share;
  Dump["reason"] = Target.Verdict.Reason;
  Dump["gray_chance"] = Gate.grayProbability(*Target.Gauge);
  Dump["idle_ms"] = static_cast<Json::Int64>(
      std::chrono::duration_cast<Millis>(Gate.idleTime(*Target.Gauge)).count());
  Dump["ejections"] = Target.Verdict.Ejections;
  Dump["in_flight"] = Target.Gauge->InFlight.load();
  Dump["reported_in_flight"] = Target.Gauge->knownLoad(bootNow()).value_or(0);
  const ServiceGate::NoticesView Known = Gate.notices(Service, Target);
  const auto InMillis = [](Duration Time) {
    return static_cast<Json::Int64>(
        std::chrono::duration_cast<Millis>(Time).count());
  };
  Dump["rate_limit_per_s"] = Known.RateLimit.PerSecond;
  Dump["rate_share_per_s"] = Known.Share.PerSecond;
  Dump["rate_limit_age_ms"] = InMillis(Known.Age);
  Dump["back_off_ms"] = InMillis(Known.BackOff);
  Dump["requests"] = static_cast<Json::UInt64>(Target.Gauge->Requests.load());
  Dump["connections_opened"] = static_cast<Json::UInt64>(Pool.Opened);
  Dump["connections_reused"] = static_cast<Json::UInt64>(Pool.Reused);
  return Dump;
}

} // namespace

Json::Value serviceDump(const ServiceView &Service) {
  const ServiceGate::Stats Gate = Service.Gate->stats();
  Json::Value Dump(Json::objectValue);
  Dump["name"] = Service.Record.Name.str();
  Dump["slots_per_target"] = Service.Record.SlotsPerTarget.Value;
  Dump["floor"] = Service.Record.Floor;
  Dump["detection"] = Service.Record.Detection == DetectionPreference::Fast
                          ? "fast"
                          : "careful";
  Dump["usual_latency_us"] = static_cast<Json::Int64>(
      std::chrono::duration_cast<std::chrono::microseconds>(
          Service.MedianLatency)
          .count());
  Dump["waiting"] = Gate.Waiting;
  Dump["waiting_order"] = Gate.ByWorth ? "worth" : "arrival";
  Dump["retries_left"] = Gate.RetriesLeft;
  Json::Value &Targets = Dump["targets"] = Json::Value(Json::arrayValue);
  for (const TargetView &Target : Service.Targets)
    Targets.append(targetDump(Service, Target));
  return Dump;
}

namespace {

Json::Value nodeDump(NodeContext &Context) {
  Json::Value Dump(Json::objectValue);
  Dump["id"] = Context.NodeSettings.Id.str();
  Dump["address"] = Context.NodeSettings.Advertise.str();
  Dump["domain"] = Context.NodeSettings.Domain.str();
  Dump["region"] = Context.NodeSettings.Region;
  Dump["incarnation"] = static_cast<Json::UInt64>(Context.Keys.process().Value);
  Dump["ready"] = Context.ready();
  Dump["draining"] = Context.Drain.active();
  Dump["caller_connections"] = Context.CallerConnections.Open.load();
  Dump["control_connections"] = Context.ControlConnections.Open.load();
  Dump["requests_in_flight"] =
      static_cast<Json::UInt64>(Context.Requests.count());
  Dump["observations_lost"] =
      static_cast<Json::UInt64>(Context.Observations.droppedCount());
  Json::Value &KeyIds = Dump["fleet_key_ids"] = Json::Value(Json::arrayValue);
  for (const std::string &Id : Context.NodeSettings.Keys->ids())
    KeyIds.append(Id);
  return Dump;
}

Json::Value memberDump(const Member &Node) {
  Json::Value Dump(Json::objectValue);
  Dump["id"] = Node.Id.str();
  Dump["address"] = Node.Endpoint.str();
  Dump["domain"] = Node.Domain.str();
  Dump["state"] = memberStateName(Node.State);
  Dump["process"] = static_cast<Json::UInt64>(Node.Process.Value);
  Dump["life"] = static_cast<Json::UInt64>(Node.StateVersion.Value);
  return Dump;
}

Json::Value configViewDump(NodeContext &Context, const Snapshot &Current) {
  const ConfirmedView View = Context.ConfigView.get();
  const Instant Now = bootNow();
  SharedConfirmedView::Counts &Counts = Context.ConfigView.counts();
  const auto Number = [](std::uint64_t Value) {
    return Json::Value(static_cast<Json::UInt64>(Value));
  };
  Json::Value Dump(Json::objectValue);
  Dump["limits_revocation"] = Current.limitsRevocation();
  Dump["limit_ms"] =
      static_cast<Json::Int64>(Current.Fleet.RevocationLimit.count());
  const auto Age = View.age(Now);
  Dump["age_ms"] = Age ? Json::Value(static_cast<Json::Int64>(
                             std::chrono::ceil<Millis>(*Age).count()))
                       : Json::Value();
  Dump["serves_keyed"] = !Current.limitsRevocation() ||
                         View.mayServeKeyed(Now, Current.Fleet.RevocationLimit);
  Dump["withdrawn"] = Context.ConfigView.withdrawn();
  Dump["config_revision"] = Number(View.applied().Value);
  Dump["store_revision"] = Number(View.storeRevision().Value);
  Dump["store_epoch"] = Number(View.storeRevision().Epoch.Value);
  Dump["awaits_record"] = View.awaitsRecord();
  Dump["reads"] = Number(Counts.Reads);
  Dump["old_reads"] = Number(Counts.OldReads);
  Dump["polls"] = Number(Counts.Polls);
  Dump["poll_responses"] = Number(Counts.PollResponses);
  return Dump;
}

Json::Value membersDump(NodeContext &Context) {
  const auto View = Context.Members.load();
  Json::Value Dump(Json::arrayValue);
  if (!View->Live.empty())
    Dump.append(memberDump(View->Live.front())); // This node.
  for (const Member &Node : View->Others)
    Dump.append(memberDump(Node));
  return Dump;
}

Json::Value gossipDump(NodeContext &Context) {
  const auto View = Context.Members.load();
  const auto Number = [](std::uint64_t Value) {
    return Json::Value(static_cast<Json::UInt64>(Value));
  };
  Json::Value Dump(Json::objectValue);
  Dump["live"] = Number(View->Live.size());
  Dump["suspect"] = Number(View->Stats.Suspect);
  Dump["dead"] = Number(View->Stats.Dead);
  Dump["suspicions"] = Number(View->Stats.Suspicions);
  Dump["refutations"] = Number(View->Stats.Refutations);
  Dump["slowness"] = View->Stats.Slowness;
  Dump["news"] = Number(View->Stats.QueuedUpdates);
  Dump["bytes_sent"] = Number(Context.Traffic.BytesSent);
  Dump["bytes_received"] = Number(Context.Traffic.BytesReceived);
  Dump["sync_bytes"] = Number(Context.Traffic.SyncBytes);
  Dump["refused"] = Number(Context.Traffic.Rejected);
  Dump["records_digest"] = Number(Context.Records.digest());
  Dump["group_ejections"] = Number(Context.GroupEjections);
  return Dump;
}

Json::Value keysDump(NodeContext &Context) {
  const KeyTable::Stats Stats = Context.Keys.stats();
  Json::Value Dump(Json::objectValue);
  Dump["entries"] = static_cast<Json::UInt64>(Stats.Entries);
  Dump["live"] = static_cast<Json::UInt64>(Stats.Live);
  Dump["answer_bytes"] = static_cast<Json::UInt64>(Stats.ResponseBytes);
  return Dump;
}

/// Accounts of which the page shows the quota.
constexpr std::size_t MaxQuotasShown = 500;

/// The quotas of accounts at this node. Claims are fractions of the quota.
Json::Value quotasDump(NodeContext &Context, const Snapshot &Current) {
  const auto Fraction = [](QuotaParts Parts) {
    return static_cast<double>(Parts) / static_cast<double>(WholeQuota);
  };
  const FleetQuota::Stats Stats = Context.Quotas.stats();
  Json::Value Dump(Json::objectValue);
  Dump["claim"] = Fraction(Stats.Claim);
  Dump["claimants"] = Stats.Claimants;
  Dump["accounts_in_use"] = static_cast<Json::UInt64>(Stats.Accounts);
  Json::Value &Shown = Dump["accounts"] = Json::Value(Json::objectValue);
  if (!Current.AccountsByKey)
    return Dump;
  for (const AccountRecord &Account : Current.AccountsByKey->accounts()) {
    if (Account.RatePerSecond <= 0)
      continue;
    if (Shown.size() >= MaxQuotasShown)
      break;
    const FleetQuota::AccountView View = Context.Quotas.view(Account.Name);
    Json::Value &Entry = Shown[Account.Name.str()];
    Entry["rate_per_s"] = Account.RatePerSecond;
    Entry["burst"] = Account.Burst;
    Entry["own"] = Fraction(View.Own);
    Entry["borrowed"] = Fraction(View.Borrowed);
    Entry["lent"] = Fraction(View.Lent);
    Entry["needed"] = View.Need;
    Entry["tokens"] = View.Tokens;
  }
  return Dump;
}

} // namespace

Json::Value stateDump(NodeContext &Context) {
  const auto Current = Context.Snapshots.get();
  Json::Value Dump(Json::objectValue);
  Dump["node"] = nodeDump(Context);
  Dump["keys"] = keysDump(Context);
  Json::Value &Config = Dump["config"] = Json::Value(Json::objectValue);
  Config["configured"] = Current->Configured;
  Config["highest_revision"] =
      static_cast<Json::UInt64>(Current->HighestRevision.Value);
  Config["epoch"] =
      static_cast<Json::UInt64>(Current->HighestRevision.Epoch.Value);
  Config["records"] = static_cast<Json::UInt64>(Current->RecordCount);
  Config["routes"] = static_cast<Json::UInt64>(Current->Routes.size());
  Config["accounts"] =
      static_cast<Json::UInt64>(Current->AccountRecords.size());
  Config["accounts_with_keys"] = static_cast<Json::UInt64>(
      Current->AccountsByKey ? Current->AccountsByKey->accounts().size() : 0);
  Config["snapshot"] = static_cast<Json::UInt64>(Current->Version);
  Dump["config_view"] = configViewDump(Context, *Current);
  Dump["quotas"] = quotasDump(Context, *Current);
  Dump["members"] = membersDump(Context);
  Dump["gossip"] = gossipDump(Context);
  Json::Value &Services = Dump["services"] = Json::Value(Json::arrayValue);
  Current->ServiceViews.forEach([&](const ServiceName &, const auto &Service) {
    Services.append(serviceDump(*Service));
  });
  return Dump;
}

} // namespace siskinstage
