#include "node/operators/metrics.h"

#include <prometheus/text_serializer.h>

namespace siskinstage {

namespace {

using prometheus::BuildCounter;
using prometheus::BuildGauge;
using prometheus::Registry;

prometheus::Family<prometheus::Counter> &
counters(Registry &Target, const std::string &Name, const std::string &Help) {
  return BuildCounter().Name(Name).Help(Help).Register(Target);
}

prometheus::Gauge &gauge(Registry &Target, const std::string &Name,
                         const std::string &Help) {
  return BuildGauge().Name(Name).Help(Help).Register(Target).Add({});
}

const prometheus::Histogram::BucketBoundaries LatencySeconds = {
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10};

} // namespace

Metrics::Metrics()
    : Registry(std::make_shared<prometheus::Registry>()),
      Responses(counters(*this->Registry, "siskinstage_answers_total",
                         "Answers of targets given to callers, by status.")),
      Refusals(counters(*this->Registry, "siskinstage_refusals_total",
                        "Answers made by the node, by step and outcome.")),
      AccountChecks(
          counters(*this->Registry, "siskinstage_account_checks_total",
                   "Requests checked for an API key, by result and priority.")),
      QueueRejections(
          counters(*this->Registry, "siskinstage_queue_rejections_total",
                   "Requests that got no slot, by reason and priority.")),
      AttemptFailures(counters(*this->Registry,
                               "siskinstage_attempt_failures_total",
                               "Tries at targets that failed, by kind.")),
      QuotaRequests(counters(
          *this->Registry, "siskinstage_quota_requests_total",
          "Requests of accounts with a quota, by result and priority.")),
      QuotaClaim(gauge(*this->Registry, "siskinstage_quota_claim",
                       "Fraction of all quotas that the node has, not lent.")),
      QuotaClaimants(gauge(*this->Registry, "siskinstage_quota_claimants",
                           "Nodes that share the quotas.")),
      QuotaAccounts(gauge(*this->Registry, "siskinstage_quota_accounts",
                          "Accounts whose quota is in use at the node.")),
      QuotaTableFull(gauge(*this->Registry, "siskinstage_quota_table_full",
                           "Requests refused since the table was full.")),
      Retries(counters(*this->Registry, "siskinstage_retries_total",
                       "Second and further tries.")
                  .Add({})),
      Forwards(counters(*this->Registry, "siskinstage_forwards_total",
                        "Requests forwarded to a key's owner, by result.")),
      Resends(counters(*this->Registry, "siskinstage_resends_total",
                       "Requests whose key was known already, by result.")),
      RejectedRecords(counters(*this->Registry,
                               "siskinstage_records_refused_total",
                               "Records refused for a fault in them.")
                          .Add({})),
      PlatformCalls(counters(*this->Registry,
                             "siskinstage_platform_calls_total",
                             "Calls to the platform, by result.")),
      Ejections(counters(*this->Registry, "siskinstage_ejections_total",
                         "Targets taken out, by service.")),
      Latency(prometheus::BuildHistogram()
                  .Name("siskinstage_request_seconds")
                  .Help("Time from a request's head to the end of its answer.")
                  .Register(*this->Registry)
                  .Add({}, LatencySeconds)),
      CallerConnections(gauge(*this->Registry, "siskinstage_caller_connections",
                              "Open connections of callers.")),
      ThreadsExhausted(gauge(*this->Registry, "siskinstage_callers_crowded",
                             "Times that a request waited for a thread.")),
      RejectedConnections(
          gauge(*this->Registry, "siskinstage_callers_turned_away",
                "Callers' connections closed beyond the limit.")),
      AcceptFailures(gauge(*this->Registry, "siskinstage_callers_unaccepted",
                           "Times that no descriptor was left for a caller.")),
      Ready(gauge(*this->Registry, "siskinstage_ready",
                  "1 if the node answers callers.")),
      ObservationsLost(gauge(*this->Registry, "siskinstage_observations_lost",
                             "Observations dropped at a full ring.")),
      HighestRevision(gauge(*this->Registry, "siskinstage_config_revision",
                            "Highest revision in force.")),
      Epoch(gauge(*this->Registry, "siskinstage_platform_epoch",
                  "Epoch of the platform's history; it rises when the platform "
                  "returns from an older copy.")),
      KeyCount(gauge(*this->Registry, "siskinstage_keys",
                     "Idempotency keys in the owner table.")),
      ConfigViewAge(
          gauge(*this->Registry, "siskinstage_config_view_age_seconds",
                "Age of the confirmed view of the configuration, -1 if it is "
                "not confirmed.")),
      TargetCounts(
          BuildGauge()
              .Name("siskinstage_targets")
              .Help("Targets that may get work, by service and by what "
                    "this node thinks of them.")
              .Register(*this->Registry)) {}

void Metrics::countResponse(int Status) {
  this->Responses.Add({{"status", std::to_string(Status)}}).Increment();
}

void Metrics::countRefusal(Step FailedStep, Outcome Result) {
  this->Refusals
      .Add({{"step", stepName(FailedStep)}, {"outcome", outcomeName(Result)}})
      .Increment();
}

void Metrics::countAccountCheck(const char *Result, std::uint32_t Priority) {
  this->AccountChecks
      .Add({{"result", Result}, {"priority", std::to_string(Priority)}})
      .Increment();
}

void Metrics::countQuota(const char *Result, std::uint32_t Priority) {
  this->QuotaRequests
      .Add({{"result", Result}, {"priority", std::to_string(Priority)}})
      .Increment();
}

void Metrics::setQuotas(double Claim, double Claimants, double Accounts,
                        double Full) {
  this->QuotaClaim.Set(Claim);
  this->QuotaClaimants.Set(Claimants);
  this->QuotaAccounts.Set(Accounts);
  this->QuotaTableFull.Set(Full);
}

void Metrics::countQueueRejection(const char *Reason, std::uint32_t Priority) {
  this->QueueRejections
      .Add({{"reason", Reason}, {"priority", std::to_string(Priority)}})
      .Increment();
}

void Metrics::countAttemptFailure(AttemptFailure::Kind Kind) {
  this->AttemptFailures.Add({{"kind", attemptFailureName(Kind)}}).Increment();
}

void Metrics::countRetry() { this->Retries.Increment(); }

void Metrics::countForward(const char *Result) {
  this->Forwards.Add({{"result", Result}}).Increment();
}

void Metrics::countResend(const char *Result) {
  this->Resends.Add({{"result", Result}}).Increment();
}

void Metrics::countRejectedRecord() { this->RejectedRecords.Increment(); }

void Metrics::countPlatformCall(const char *Result) {
  this->PlatformCalls.Add({{"result", Result}}).Increment();
}

void Metrics::countEjection(const std::string &Service) {
  this->Ejections.Add({{"service", Service}}).Increment();
}

void Metrics::observeLatency(Duration Elapsed) {
  this->Latency.Observe(std::chrono::duration<double>(Elapsed).count());
}

void Metrics::setCallerConnections(double Count) {
  this->CallerConnections.Set(Count);
}
void Metrics::setThreadsExhausted(double Times) {
  this->ThreadsExhausted.Set(Times);
}
void Metrics::setRejectedConnections(double Count) {
  this->RejectedConnections.Set(Count);
}
void Metrics::setAcceptFailures(double Times) {
  this->AcceptFailures.Set(Times);
}
void Metrics::setReady(bool IsReady) { this->Ready.Set(IsReady ? 1 : 0); }

void Metrics::setObservationsLost(double Count) {
  this->ObservationsLost.Set(Count);
}

void Metrics::setHighestRevision(const Revision &Highest) {
  this->HighestRevision.Set(static_cast<double>(Highest.Value));
  this->Epoch.Set(static_cast<double>(Highest.Epoch.Value));
}

void Metrics::setKeyCount(double Count) { this->KeyCount.Set(Count); }

void Metrics::setConfigViewAge(double Seconds) {
  this->ConfigViewAge.Set(Seconds);
}

void Metrics::setTargetCounts(const std::string &Service, double Admitted,
                              double Suspected, double Idle, double Limited,
                              double LeftAlone) {
  const auto Set = [&](const char *State, double Count) {
    this->TargetCounts.Add({{"service", Service}, {"which", State}}).Set(Count);
  };
  Set("admitted", Admitted);
  Set("doubted", Suspected);
  Set("idle", Idle);
  Set("limited", Limited);
  Set("left_alone", LeftAlone);
}

std::string Metrics::text() const {
  return prometheus::TextSerializer().Serialize(this->Registry->Collect());
}

} // namespace siskinstage
