#ifndef SISKINSTAGE_CONFIG_H
#define SISKINSTAGE_CONFIG_H

#include "siskinstage/fleet_config.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

/// The tunables of the system; those of the nodes among each other and of the
/// platform are in fleet_config.h. Durations carry their unit in the type,
/// sizes in the name; fractions and probabilities range from 0 to 1.
namespace siskinstage::config {

using namespace std::chrono_literals;

// Caller port.
inline constexpr std::size_t MaxHeaderBytes = 32 * 1024;
inline constexpr std::size_t MaxHeaderCount = 100;
inline constexpr std::uint64_t MaxBodyBytes = 64ULL * 1024 * 1024;
/// A request or response body up to this size is buffered, so that an early
/// failure can be retried; a longer one is streamed.
inline constexpr std::size_t ReplayBufferBytes = 256 * 1024;
inline constexpr std::size_t StreamChunkBytes = 16 * 1024;
inline constexpr std::size_t MaxChunkLineBytes = 256;
inline constexpr std::size_t MaxTrailerBytes = 4 * 1024;
inline constexpr std::chrono::milliseconds HeaderReadTimeout = 10s;
inline constexpr std::chrono::milliseconds CallerIdleTimeout = 75s;
inline constexpr std::chrono::milliseconds CallerWriteTimeout = 30s;
/// After the last response, further input of the caller is read for this long:
/// closing with unread input resets the connection and may lose the response.
inline constexpr std::chrono::milliseconds LingerTimeout = 500ms;
inline constexpr int CallerThreadStackBytes = 256 * 1024;
inline constexpr int CallerListenBacklog = 1024;
/// Threads for callers, one for each request that is in exchange with a target;
/// requests that wait have none, and the last free one does nothing that may
/// block. The busiest of six entries has 220 requests in exchange under the
/// overload of 4,400 requests/s of 0.3 s each.
inline constexpr int MaxCallerThreads = 400;
/// Concurrent calls of other nodes, the platform and operators.
inline constexpr int MaxControlThreads = 24;
inline constexpr std::size_t MaxControlConnections = 1000;
/// How often connections past their idle limit are closed.
inline constexpr std::chrono::milliseconds IdleSweepPeriod = 1s;

// Page ports: readiness, directory, operators.
inline constexpr std::chrono::milliseconds PageReadTimeout = 2s;
inline constexpr std::chrono::milliseconds PageWriteTimeout = 5s;
/// The platform sends a request every second and may keep its connection open.
inline constexpr std::chrono::milliseconds PageIdleTimeout = 5s;

// Deadlines of requests.
inline constexpr std::chrono::milliseconds DefaultDeadline = 10s;
inline constexpr std::chrono::milliseconds MaxDeadline = 300s;

// Connections to targets.
inline constexpr std::size_t MaxConnectionsPerTarget = 16;
/// A few round trips between regions, 70 ms each. A longer wait means a lost
/// packet or a broken path, and another target responds before either recovers.
inline constexpr std::chrono::milliseconds ConnectTimeout = 200ms;
/// Maximum number of failed connections to targets for which one request is
/// retried; the request was not sent to any of these targets.
inline constexpr int MaxConnectFailures = 4;
inline constexpr std::chrono::milliseconds TargetIdleLimit = 15s;
inline constexpr std::chrono::milliseconds TargetAgeLimit = 300s;
/// How often connections past these limits are closed: a fraction of the idle
/// limit.
inline constexpr std::chrono::milliseconds TargetSweepPeriod = 5s;
/// Maximum idle time of a pooled connection that carries a request which must
/// not run twice: a connection that carried a response within this time is
/// known to be alive.
inline constexpr std::chrono::milliseconds AtMostOnceIdleLimit = 50ms;
inline constexpr std::chrono::milliseconds BodyStallTimeout = 5s;
/// Response heads that may precede the final one on a connection: interim (1xx)
/// responses, and responses left over from earlier requests.
inline constexpr int MaxInterimResponses = 16;
/// Body of a late response to an earlier request that is read to get to the
/// next response.
inline constexpr std::size_t MaxSkippedBodyBytes = 1024 * 1024;
/// Age at which a request is overdue while the usual latency of its service is
/// not known and its route has no objective.
inline constexpr std::chrono::milliseconds DefaultOverdueAge = 500ms;

// Retries.
inline constexpr int MaxAttempts = 4;
inline constexpr double RetryBudgetFraction = 0.1;
inline constexpr double RetryBudgetBurst = 10.0;
inline constexpr std::chrono::milliseconds RetryBackoffBase = 2ms;
inline constexpr std::chrono::milliseconds RetryBackoffCap = 100ms;

/// Range of Retry-After for a rejected request: about the usual duration of a
/// request, within which a slot becomes free.
inline constexpr std::chrono::milliseconds MinRetryAfter = 200ms;
inline constexpr std::chrono::milliseconds MaxRetryAfter = 600ms;
/// Fraction of a route's objective after which a request is overdue while the
/// usual latency of its service is not known: a retry must still fit into it.
inline constexpr double OverdueObjectiveFraction = 0.6;

// Queue of a service whose slots are all in use.
inline constexpr int MaxQueuePerService = 10'000;
/// Memory of a request that waits, besides its body and its connection: 4,200
/// to 4,400 bytes were measured with 2,000 requests with small heads.
inline constexpr std::uint64_t WaitingRequestBytes = 4800;
/// Bytes held by them: as many as the longest queue holds without bodies,
/// beside the 18 MB of an idle node in the smallest machine's 112 MB.
inline constexpr std::uint64_t MaxQueueBytesPerService = 48 * 1024 * 1024;
inline constexpr std::chrono::milliseconds MaxQueueWait = 2s;
/// Longest planned Retry-After of a request that a queue rejects: a burst lasts
/// some seconds, and capacity is not known further ahead.
inline constexpr std::chrono::milliseconds MaxWaitRetryAfter = 5s;
inline constexpr std::chrono::milliseconds QueuePollPeriod = 20ms;

// Choice among targets. Penalties are fractions of a target's slots.

/// Penalty of a target in another failure domain. At a target with three slots
/// it weighs more than one request and less than two: nodes mostly use targets
/// of their own domain, so that one node knows most of the unfinished requests
/// of a target, but use other domains before their own queue grows.
inline constexpr double CrossDomainPenalty = 0.45;
/// Added to CrossDomainPenalty for a request with a large body, which then
/// leaves its failure domain only if no slot is free in it: sending its bytes
/// to another domain costs a fifth of what the request is worth.
inline constexpr double LargeBodyPenalty = 0.7;
inline constexpr std::size_t LargeBodyBytes = 16 * 1024;
/// Penalty of a target that another node fills: about one request at a target
/// with three slots, so that a node first uses its own targets.
inline constexpr double BorrowPenalty = 0.3;
/// Added to BorrowPenalty while the load of the target is not known: about one
/// request more, which the other node may have there.
inline constexpr double UnknownLoadPenalty = 0.4;
/// Age up to which the load that a target reported is used: the usual duration
/// of a request, after which half of the reported requests have ended.
inline constexpr std::chrono::milliseconds ReportedLoadMaxAge = 300ms;

// Notices that targets state in their responses.
/// Longest time for which a target is left alone at its own request: it must
/// not be lost for good by a wrong value.
inline constexpr std::chrono::milliseconds MaxBackOff = 120s;
/// A lower limit is raised to this: with one request in ten seconds, the end of
/// the limit is still noticed.
inline constexpr double MinTargetRate = 0.1;
/// A higher limit has no effect: it is more than any target can serve.
inline constexpr double MaxTargetRate = 1e6;
/// Requests per second of a limit for each node in charge of it: a node that
/// callers use has at least this many requests for a service.
inline constexpr double RatePerNodeInCharge = 2;
/// Unused requests that a node may send at once, beyond the first, in seconds
/// of its share.
inline constexpr double RateBurstSeconds = 0.8;
/// Period in which one node repeats a limit to the others.
inline constexpr std::chrono::milliseconds RateLimitRepeatPeriod = 1s;
/// A limit ends with this many successive responses without it: a single one
/// may come from an error path of the target that does not state it.
inline constexpr int RateLimitEndResponses = 2;
/// If nothing is heard of a limit for this long, and for the interval between
/// two of its requests, the nodes in charge do not use it: two periods in which
/// it is repeated.
inline constexpr std::chrono::milliseconds RateSilenceTime = 2s;
/// Part of an unused limit that a node takes over: three nodes that do so at
/// the same time together have the whole limit.
inline constexpr double RateHolderFraction = 1.0 / 3;
/// Time in which the nodes agree on the one that takes over an unused limit.
inline constexpr std::chrono::milliseconds RateHolderSettleTime = 500ms;
/// A limit that was not heard of for this long has ended. Until then the nodes
/// have tried the target in turns, and it has sent no response.
inline constexpr std::chrono::milliseconds RateLimitRetention = 60s;
/// Longest Retry-After of a request that is rejected since what the targets
/// state leaves no room.
inline constexpr std::chrono::milliseconds MaxNoticeRetryAfter = 5s;

// Quotas of client accounts over all nodes.
/// Defaults of the fleet record.
inline constexpr std::chrono::milliseconds QuotaWindow = 5s;
inline constexpr double QuotaOverage = 0.25;
inline constexpr double QuotaSlack = 20;
/// Parts of the overage and of the slack that the shares use, as burst. The
/// rest of the overage is for requests that wait for a slot and then run closer
/// together than they were admitted, and for entry nodes that change.
inline constexpr double QuotaOverageUse = 0.6;
inline constexpr double QuotaSlackUse = 0.9;
/// Part of its life after which a loan is renewed.
inline constexpr double QuotaRenewFraction = 0.5;
/// A node that is no entry any more keeps its claim for as long as callers use
/// a response of the directory, 6 s, and a second.
inline constexpr std::chrono::milliseconds QuotaDemotionTime = 7s;
/// Time after the start in which a node learns who the others are.
inline constexpr std::chrono::milliseconds QuotaStartTime = 700ms;
/// Longer than a round trip between regions, 140 ms, and two gossip ticks.
inline constexpr std::chrono::milliseconds QuotaResponseTimeout = 400ms;
/// A bucket whose claim was not confirmed for this long by the gossip thread is
/// empty: the process may have been frozen.
inline constexpr std::chrono::milliseconds QuotaTickTimeout = 2s;
/// Requests for loans and contacts that a node may send at once.
inline constexpr double QuotaRequestBurst = 60;
/// Accounts in one message, which then fits into a datagram.
inline constexpr std::size_t QuotaItemsPerMessage = 14;
/// State of an account that was not used for this long is dropped.
inline constexpr std::chrono::milliseconds QuotaIdleTime = 60s;
inline constexpr std::size_t MaxQuotaAccounts = 300'000;
/// Longest Retry-After of a request over its quota.
inline constexpr std::chrono::milliseconds MaxQuotaRetryAfter = 5s;

// Idempotency keys.
inline constexpr std::chrono::seconds KeyEpochLength = 300s;
/// Number of epochs after its own in which a key remains valid.
inline constexpr std::uint32_t KeyEpochsRetained = 1;
inline constexpr std::size_t KeyTableCapacity = 200'000;
inline constexpr std::size_t MaxKeyResponseBytes = ReplayBufferBytes;
inline constexpr std::size_t KeyTableBytes = 64 * 1024 * 1024;
inline constexpr std::size_t MaxKeyBytes = 200;
inline constexpr std::size_t KeyMacBytes = 8;

// Entries: the nodes to which callers are steered.
/// How long a caller may use a response that lists entries.
inline constexpr std::chrono::milliseconds EntriesTtl = 30s;
inline constexpr std::size_t EntriesPerAccount = 4;
/// A service group has one node for this many slots of the service's targets.
inline constexpr std::size_t SlotsPerGroupNode = 5;
/// In a failure domain of more than LargeDomainNodes nodes, one node in
/// NodesPerEntry is an entry: a single one can't carry the traffic of a large
/// domain.
inline constexpr std::size_t LargeDomainNodes = 16;
inline constexpr std::size_t NodesPerEntry = 4;
/// An instance is large if its capacity times this is at least that of the
/// largest one: machines bought together differ by less.
inline constexpr std::uint32_t LargeCapacityFactor = 2;
/// Only large instances are entries of a failure domain that has at least this
/// many of them: with fewer, the loss of one could leave it without an entry.
inline constexpr std::size_t MinLargeEntries = 2;
inline constexpr std::chrono::milliseconds EntriesForwardTimeout = 300ms;
/// Peers that may relay a request to the owner of its key when the owner can't
/// be reached directly.
inline constexpr std::size_t MaxRelayPeers = 2;
inline constexpr int MaxForwardHops = 2;

// Health of targets from local evidence. Each service has fast or careful
// detection.

/// Number of the latest requests of a target that are evaluated.
inline constexpr std::size_t HealthWindow = 32;
inline constexpr std::uint32_t FastConsecutiveFailures = 3;
inline constexpr std::uint32_t CarefulConsecutiveFailures = 5;
inline constexpr double FastFailureFraction = 0.3;
inline constexpr double CarefulFailureFraction = 0.5;
inline constexpr std::size_t MinWindowSamples = 8;
/// A response is slow if it takes at least this many times the high latency of
/// the service.
inline constexpr double SlowFactorFast = 3.0;
inline constexpr double SlowFactorCareful = 5.0;
/// A request is overdue, and may be retried, at the age that this fraction of
/// the requests of a healthy target reaches.
inline constexpr double OverdueProbabilityFast = 0.05;
inline constexpr double OverdueProbabilityCareful = 0.02;
/// Period at which a retry of an overdue request is considered again: a slot
/// becomes free in less than the usual duration of a request.
inline constexpr std::chrono::milliseconds OverduePollPeriod = 100ms;
/// A response faster than this is never slow.
inline constexpr std::chrono::milliseconds MinSlowLatency = 50ms;
/// Lower bound of the age at which a request is overdue and counts as a failure
/// before it ends.
inline constexpr std::chrono::milliseconds MinOverdueAge = 300ms;
/// A timeout is evidence against a target only if the target had at least this
/// much time.
inline constexpr std::chrono::milliseconds MinTimeoutForEvidence = 200ms;
/// How long a target counts as leaving after it last announced that it leaves.
inline constexpr std::chrono::milliseconds LeavingRetention = 10s;
inline constexpr std::chrono::milliseconds InitialEjectionTime = 2s;
/// Probability that a target without evidence is in a gray-failure episode.
inline constexpr double GrayPriorProbability = 0.2;
/// Time in which the weight of evidence decays to 1/e, about a third: episodes
/// of gray failure last about nine seconds, and the next one begins after about
/// four times that time.
inline constexpr std::chrono::milliseconds GrayDecayTime = 7s;
/// Fraction of the requests of a healthy target that fail.
inline constexpr double HealthyFailureRatio = 0.015;
/// Fraction of the requests of a healthy target that become overdue.
inline constexpr double HealthyOverdueRatio = 0.04;
/// Fraction of the requests of a healthy target that time out.
inline constexpr double HealthyTimeoutRatio = 0.005;
/// The estimated probability of an episode is at least this, and at most one
/// minus this.
inline constexpr double MinGrayProbability = 0.005;
/// From this probability on, a target is suspected of a gray failure and the
/// other nodes are notified.
inline constexpr double GrayThreshold = 0.4;
/// A target without a request for this long is counted as idle in the metrics.
inline constexpr std::chrono::milliseconds IdleThreshold = 2s;
/// A target without a request for this long may get a trial request: half of
/// IdleThreshold, so that the request reaches it before it counts as idle.
inline constexpr std::chrono::milliseconds TrialIdleTime = IdleThreshold / 2;
/// An idle target gets a trial request only below this probability of a gray
/// failure: less than one half, so that trial requests bring back a target more
/// often than they are lost.
inline constexpr double TrialMaxGrayProbability = 0.45;
/// The same bound while trial requests are most urgent: a target gets one about
/// three seconds after its last failure.
inline constexpr double UrgentTrialMaxGrayProbability = 0.7;
/// Trial requests become urgent between these fractions of a service's requests
/// that are not served.
inline constexpr double MinUrgentUnserved = 0.07;
inline constexpr double MaxUrgentUnserved = 0.1;
/// The same for the fraction of the healthy targets that ordinary trial
/// requests leave idle.
inline constexpr double MinUrgentUntried = 0.15;
inline constexpr double MaxUrgentUntried = 0.25;
/// Time in which a request that was not served loses weight to 1/e in the
/// fraction that is not served.
inline constexpr std::chrono::milliseconds UnservedDecayTime = IdleThreshold;
/// The deputy of the node in charge of a target waits longer, and for a lower
/// probability, by this margin, so that it sends a trial request only if the
/// node in charge sends none.
inline constexpr std::chrono::milliseconds DeputyTrialIdleTime =
    IdleThreshold * 3 / 4;
inline constexpr double DeputyTrialMargin = 0.06;
/// From this probability of a gray failure on, a target gets one request at a
/// time: concurrent ones give no evidence sooner.
inline constexpr double SingleRequestThreshold = 0.5;
/// Factor of the penalty for requests that may run twice: their failure costs
/// only a retry, and they probe suspected targets at a lower cost than requests
/// that must not run twice.
inline constexpr double RepeatablePenaltyFactor = 0.4;
/// Penalty of a suspected target that has a request in flight: more than any
/// target that is not suspected can have.
inline constexpr double SuspectedPenalty = 2.0;
/// Fraction of its requests that a target in an episode of gray failure fails
/// or never responds to.
inline constexpr double GrayFailureRatio = 0.75;
/// Lower bound of the probability that a request of a healthy target is
/// unfinished: one in a hundred takes several times as long as usual.
inline constexpr double MinUnfinishedProbability = 0.01;
/// A target with a lower penalty counts as healthy: the probability that it
/// hangs is less than one half.
inline constexpr double MaxHealthyPenalty = SuspectedPenalty / 2;
/// Penalty of a target that hangs with a probability of one.
inline constexpr double HangPenalty = SuspectedPenalty;
/// Number of the latest successes of a service, over all of its targets, whose
/// latencies are pooled.
inline constexpr std::size_t PooledLatencyCount = 64;
/// The high latency of a service is this quantile of its latencies.
inline constexpr double HighLatencyQuantile = 0.9;
inline constexpr std::chrono::milliseconds MaxEjectionTime = 60s;
inline constexpr std::chrono::milliseconds ProbationRamp = 5s;
/// Age up to which a failure counts towards an ejection.
inline constexpr std::chrono::milliseconds EvidenceMaxAge = 10s;
/// The ejection time doubles with each ejection within this time of the one
/// before.
inline constexpr std::chrono::milliseconds EjectionCountRetention = 120s;
/// Period at which verdicts that change as time passes are decided again.
inline constexpr std::chrono::milliseconds DecisionPeriod = 50ms;
/// Updates that arrive within this time are handled in one pass, since each
/// pass evaluates all targets of a service. It delays decisions by no more than
/// a twentieth of the usual duration of a request.
inline constexpr std::chrono::milliseconds DecisionBatchInterval = 20ms;
/// The longest time that the decision thread waits for updates.
inline constexpr std::chrono::milliseconds DecisionIdleInterval = 500ms;
/// Observations that may wait for the decision thread: more than three seconds
/// of them at 280 requests/s, the design load of a node. The decision thread
/// drains a full ring in 0.1 s.
inline constexpr std::size_t ObservationRingSize = 1024;
/// Commands or updates that may wait for a thread: twice the number of members
/// of a large failure domain.
inline constexpr std::size_t UpdateRingSize = 256;

// Probes of targets.
inline constexpr std::chrono::milliseconds ProbePeriod = 5s;
inline constexpr std::chrono::milliseconds ProbeTimeout = 1s;

// Requests that crash targets.
inline constexpr std::size_t CrashedTargetsToQuarantine = 2;
inline constexpr std::size_t MaxSuspectRequests = 10'000;
inline constexpr std::chrono::milliseconds QuarantineTime = 600s;
/// Requests with a recent response are not suspected. A generation of them ends
/// after RecentResponseTime or with this many requests; two generations are
/// kept.
inline constexpr std::size_t MaxRecentResponses = 4096;
inline constexpr std::chrono::milliseconds RecentResponseTime = 60s;

// Shutdown.
/// How long new connections are accepted while draining.
inline constexpr std::chrono::milliseconds AcceptLingerTime = 500ms;
/// A draining node sends requests to targets for this long, at most for half of
/// its shutdown limit; after that, only those that end before the process
/// exits.
inline constexpr std::chrono::milliseconds DrainServeTime = 3s;
/// This long before the exit, at most this fraction of the shutdown limit, all
/// requests that are still open are answered. One that ends before still gets
/// its response.
inline constexpr std::chrono::milliseconds DrainExitMargin = 200ms;
inline constexpr double DrainExitFraction = 0.03;
/// How often the read of a body checks whether the node drains.
inline constexpr std::chrono::milliseconds DrainCheckPeriod = 250ms;
/// Idle connections are kept open for at least this long after draining starts,
/// for one more request each.
inline constexpr std::chrono::milliseconds DrainIdleLimit = DrainServeTime;
/// They are also kept open for at least this long after they were accepted or
/// last used.
inline constexpr std::chrono::milliseconds DrainQuietTime = 300ms;
inline constexpr std::chrono::milliseconds ShutdownLimit = 60s;

} // namespace siskinstage::config

#endif // SISKINSTAGE_CONFIG_H
