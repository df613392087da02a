#ifndef SISKINSTAGE_NODE_METRICS_H
#define SISKINSTAGE_NODE_METRICS_H

#include "core/attempt.h"
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

/// The node's metrics, by the names that operators see.
class Metrics {
public:
  Metrics();

  void countResponse(int Status);
  void countRefusal(Step Where, Outcome What);
  void countAttemptFailure(AttemptFailure::Kind What);
  void countRetry();
  void countForward(const char *Result);
  void countResend(const char *Result);
  void countRejectedRecord();
  void countPlatformCall(const char *Result);
  void countEjection(const std::string &Service);
  void observeLatency(Duration Whole);
  void setCallerConnections(double Count);
  void setThreadsExhausted(double Times);
  void setRejectedConnections(double Count);
  void setAcceptFailures(double Times);
  void setReady(bool Ready);
  void setObservationsLost(double Count);
  void setHighestRevision(double Highest);
  void setKeyCount(double Entries);
  /// Targets of \p Service that may get work, those of them that are probably
  /// gray, and those that this node has sent nothing lately.
  void setTargetCounts(const std::string &Service, double Admitted,
                       double Doubted, double Idle);

  /// The Prometheus text format.
  [[nodiscard]] std::string text() const;

private:
  std::shared_ptr<prometheus::Registry> Registry;
  prometheus::Family<prometheus::Counter> &Answers;
  prometheus::Family<prometheus::Counter> &Refusals;
  prometheus::Family<prometheus::Counter> &AttemptFailures;
  prometheus::Counter &Retries;
  prometheus::Family<prometheus::Counter> &Forwards;
  prometheus::Family<prometheus::Counter> &Resends;
  prometheus::Counter &RecordsRefused;
  prometheus::Family<prometheus::Counter> &PlatformCalls;
  prometheus::Family<prometheus::Counter> &Ejections;
  prometheus::Histogram &Latency;
  prometheus::Gauge &Callers;
  prometheus::Gauge &Crowded;
  prometheus::Gauge &TurnedAway;
  prometheus::Gauge &Unaccepted;
  prometheus::Gauge &Ready;
  prometheus::Gauge &ObservationsLost;
  prometheus::Gauge &HighestRevision;
  prometheus::Gauge &Keys;
  prometheus::Family<prometheus::Gauge> &Targets;
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_METRICS_H
