#ifndef SISKINSTAGE_NODE_OPERATORS_METRICS_H
#define SISKINSTAGE_NODE_OPERATORS_METRICS_H

#include "core/requests/attempt.h"
#include "siskinstage/error.h"
#include "siskinstage/outcome.h"
#include "siskinstage/units.h"

#include <memory>
#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>

namespace siskinstage {

/// The node's Prometheus metrics.
class Metrics {
public:
  Metrics();

  void countResponse(int Status);
  void countRefusal(Step FailedStep, Outcome Result);
  /// \param Result why a request is or is not admitted by its API key.
  void countAccountCheck(const char *Result, std::uint32_t Priority);
  /// \param Result what the quota of an account decided on a request.
  void countQuota(const char *Result, std::uint32_t Priority);
  /// \param Claim fraction of all quotas that this node has, without loans.
  void setQuotas(double Claim, double Claimants, double Accounts, double Full);
  /// A request got no slot. \param Reason why.
  void countQueueRejection(const char *Reason, std::uint32_t Priority);
  void countAttemptFailure(AttemptFailure::Kind Kind);
  void countRetry();
  void countForward(const char *Result);
  void countResend(const char *Result);
  void countRejectedRecord();
  void countPlatformCall(const char *Result);
  void countEjection(const std::string &Service);
  void observeLatency(Duration Elapsed);
  void setCallerConnections(double Count);
  /// \param Times how often a request waited for a thread for callers.
  void setThreadsExhausted(double Times);
  /// \param Count connections of callers closed because of the limit.
  void setRejectedConnections(double Count);
  /// \param Times how often no file descriptor was left to accept a caller.
  void setAcceptFailures(double Times);
  void setReady(bool IsReady);
  void setObservationsLost(double Count);
  void setHighestRevision(const Revision &Highest);
  void setKeyCount(double Count);
  /// \param Seconds age of the confirmed view; negative if there is none.
  void setConfigViewAge(double Seconds);
  /// \param Admitted targets of \p Service that may get requests.
  /// \param Suspected those of them that are suspected of a gray failure.
  /// \param Idle those of them to which this node has sent no request for
  ///        config::IdleThreshold.
  void setTargetCounts(const std::string &Service, double Admitted,
                       double Suspected, double Idle, double Limited,
                       double LeftAlone);

  /// All metrics in the Prometheus text format.
  [[nodiscard]] std::string text() const;

private:
  std::shared_ptr<prometheus::Registry> Registry;
  prometheus::Family<prometheus::Counter> &Responses;
  prometheus::Family<prometheus::Counter> &Refusals;
  prometheus::Family<prometheus::Counter> &AccountChecks;
  prometheus::Family<prometheus::Counter> &QueueRejections;
  prometheus::Family<prometheus::Counter> &AttemptFailures;
  prometheus::Family<prometheus::Counter> &QuotaRequests;
  prometheus::Gauge &QuotaClaim;
  prometheus::Gauge &QuotaClaimants;
  prometheus::Gauge &QuotaAccounts;
  prometheus::Gauge &QuotaTableFull;
  prometheus::Counter &Retries;
  prometheus::Family<prometheus::Counter> &Forwards;
  prometheus::Family<prometheus::Counter> &Resends;
  prometheus::Counter &RejectedRecords;
  prometheus::Family<prometheus::Counter> &PlatformCalls;
  prometheus::Family<prometheus::Counter> &Ejections;
  prometheus::Histogram &Latency;
  prometheus::Gauge &CallerConnections;
  prometheus::Gauge &ThreadsExhausted;
  prometheus::Gauge &RejectedConnections;
  prometheus::Gauge &AcceptFailures;
  prometheus::Gauge &Ready;
  prometheus::Gauge &ObservationsLost;
  prometheus::Gauge &HighestRevision;
  prometheus::Gauge &Epoch;
  prometheus::Gauge &KeyCount;
  prometheus::Gauge &ConfigViewAge;
  prometheus::Family<prometheus::Gauge> &TargetCounts;
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_OPERATORS_METRICS_H
