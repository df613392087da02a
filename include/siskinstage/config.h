#ifndef SISKINSTAGE_CONFIG_H
#define SISKINSTAGE_CONFIG_H

#include <chrono>
#include <cstddef>
#include <cstdint>

/// The tunables of the system. Durations carry their unit in the type, sizes
/// in the name; fractions and probabilities range from 0 to 1.
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
/// Threads for callers, one per request; the last one only rejects. More than
/// the busiest entry has in flight under overload: 160 requests/s that wait
/// two seconds each.
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
inline constexpr std::chrono::milliseconds DefaultDeadline = 10s;
inline constexpr std::chrono::milliseconds MaxDeadline = 300s;

// Connections to targets.
inline constexpr std::size_t MaxConnectionsPerTarget = 16;
/// A few round trips between regions, 70 ms each. A longer wait means a lost
/// packet or a broken path, and another target responds before either recovers.
inline constexpr std::chrono::milliseconds ConnectTimeout = 200ms;
/// Failed connections to targets per request; the request was not sent to any
/// of these targets.
inline constexpr int MaxConnectFailures = 4;
inline constexpr std::chrono::milliseconds TargetIdleLimit = 15s;
inline constexpr std::chrono::milliseconds TargetAgeLimit = 300s;
/// Maximum idle time of a pooled connection that carries a request which must
/// not run twice: a connection that carried a response within this time is
/// known to be alive.
inline constexpr std::chrono::milliseconds AtMostOnceIdleLimit = 50ms;
inline constexpr std::chrono::milliseconds BodyStallTimeout = 5s;
/// Response heads that may precede the final one on a connection: interim
/// responses, and the rest of responses to earlier requests.
inline constexpr int MaxInterimResponses = 16;
/// Age at which a request is overdue while the usual latency of its service is
/// not known and its route has no objective.
inline constexpr std::chrono::milliseconds DefaultOverdueAge = 500ms;

// Retries.
inline constexpr int MaxAttempts = 4;
inline constexpr double RetryBudgetFraction = 0.1;
inline constexpr double RetryBudgetBurst = 10.0;
inline constexpr std::chrono::milliseconds RetryBackoffBase = 2ms;
inline constexpr std::chrono::milliseconds RetryBackoffCap = 100ms;

/// Range of Retry-After for a rejected request: about the duration of one
/// request, in which a slot becomes free.
inline constexpr std::chrono::milliseconds MinRetryAfter = 200ms;
inline constexpr std::chrono::milliseconds MaxRetryAfter = 600ms;
/// Fraction of a route's objective after which a request is overdue while the
/// usual latency of its service is not known: a retry must still fit in.
inline constexpr double OverdueObjectiveFraction = 0.6;

// Queue of a service whose slots are all in use.
inline constexpr int MaxQueuePerService = 256;
inline constexpr std::chrono::milliseconds MaxQueueWait = 2s;
inline constexpr std::chrono::milliseconds QueuePollPeriod = 20ms;

// Choice among targets. Penalties are fractions of a target's slots.
/// Penalty of a target in another failure domain. It equals between one and two
/// requests of three slots: so one node knows most of the unfinished requests
/// of a target, and uses other domains before its own queue grows.
inline constexpr double CrossDomainPenalty = 0.45;
/// Added to CrossDomainPenalty for a request with a large body, which then
/// leaves its failure domain only for a free slot: sending its bytes to another
/// domain costs a fifth of the value of the request.
inline constexpr double LargeBodyPenalty = 0.7;
inline constexpr std::size_t LargeBodyBytes = 16 * 1024;
/// How long a load that a target reported is used: the usual duration of a
/// request, after which half of the requests reported have ended.
inline constexpr std::chrono::milliseconds ReportedLoadMaxAge = 300ms;

// Idempotency keys.
inline constexpr std::chrono::seconds KeyEpochLength = 300s;
/// Number of epochs after its own in which a key remains valid.
inline constexpr std::uint32_t KeyEpochsRetained = 1;
inline constexpr std::size_t KeyTableCapacity = 200'000;
inline constexpr std::size_t MaxKeyResponseBytes = ReplayBufferBytes;
inline constexpr std::size_t KeyTableBytes = 64 * 1024 * 1024;
inline constexpr std::size_t MaxKeyBytes = 200;
inline constexpr std::size_t KeyMacBytes = 8;
/// How long a caller may use a response that lists entries.
inline constexpr std::chrono::milliseconds EntriesTtl = 30s;
inline constexpr std::size_t EntriesPerAccount = 4;
/// Slots of a service's targets for each node of the service's group.
inline constexpr std::size_t SlotsPerGroupNode = 5;
/// In a failure domain of more than LargeDomainNodes nodes, one node in
/// NodesPerEntry is an entry: a single one can't carry the traffic of a large
/// domain.
inline constexpr std::size_t LargeDomainNodes = 16;
inline constexpr std::size_t NodesPerEntry = 4;
/// An instance is large if its capacity times this is at least that of the
/// largest one: machines bought together differ by less.
inline constexpr std::uint32_t LargeCapacityFactor = 2;
/// Large instances that a failure domain needs to have only large ones as its
/// entries: with fewer, the loss of one could leave it without any.
inline constexpr std::size_t MinLargeEntries = 2;
inline constexpr std::chrono::milliseconds EntriesForwardTimeout = 300ms;
inline constexpr std::size_t MaxRelayPeers = 2;
inline constexpr int MaxForwardHops = 2;

// Health of targets from local evidence.
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
/// How often a retry of an overdue request is considered again: a slot becomes
/// free in less than the usual duration of a request.
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
/// Probability of a gray-failure episode at a target without evidence.
inline constexpr double GrayPriorProbability = 0.2;
/// Time in which the weight of evidence decays to about a third (1/e):
/// episodes of gray failure last about nine seconds, and the next one begins
/// after about four times as long.
inline constexpr std::chrono::milliseconds GrayDecayTime = 7s;
/// Fraction of the requests of a healthy target that fail.
inline constexpr double HealthyFailureRatio = 0.015;
/// Fraction of the requests of a healthy target that become overdue.
inline constexpr double HealthyOverdueRatio = 0.04;
/// Fraction of the requests of a healthy target that time out.
inline constexpr double HealthyTimeoutRatio = 0.005;
/// Lower bound of the estimated probability of an episode, and of none.
inline constexpr double MinGrayProbability = 0.005;
/// From this probability on, a target is suspected of a gray failure and the
/// other nodes are notified.
inline constexpr double GrayThreshold = 0.4;
/// A target without a request for this long is counted as idle in the metrics.
inline constexpr std::chrono::milliseconds IdleThreshold = 2s;
/// A target without a request for this long may get a trial request: half of
/// the work window, so that the request reaches it within the window.
inline constexpr std::chrono::milliseconds TrialIdleTime = IdleThreshold / 2;
/// An idle target gets a trial request only below this probability of a gray
/// failure: less than one half, so that trial requests bring back a target more
/// often than they are lost.
inline constexpr double TrialMaxGrayProbability = 0.45;
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
/// Fraction of its requests that a target fails, or never responds to, in an
/// episode of gray failure.
inline constexpr double GrayFailureRatio = 0.75;
/// Lower bound of the probability that a request of a healthy target is
/// unfinished: one in a hundred takes several times as long as usual.
inline constexpr double MinUnfinishedProbability = 0.01;
/// A target with a lower penalty counts as healthy: the probability that it
/// hangs is less than one half.
inline constexpr double MaxHealthyPenalty = SuspectedPenalty / 2;
/// Penalty of a target that certainly hangs.
inline constexpr double HangPenalty = SuspectedPenalty;
/// Successes of a service whose latencies are pooled over all targets.
inline constexpr std::size_t PooledLatencyCount = 64;
/// Quantile that defines the high latency.
inline constexpr double HighLatencyQuantile = 0.9;
inline constexpr std::chrono::milliseconds MaxEjectionTime = 60s;
inline constexpr std::chrono::milliseconds ProbationRamp = 5s;
/// Age up to which a failure counts towards an ejection.
inline constexpr std::chrono::milliseconds EvidenceMaxAge = 10s;
/// The ejection time doubles with each ejection within this time of the one
/// before.
inline constexpr std::chrono::milliseconds EjectionCountRetention = 120s;
/// How often verdicts are decided again while they change with time.
inline constexpr std::chrono::milliseconds DecisionPeriod = 50ms;
/// Updates within this time are decided on in one pass: each pass evaluates all
/// targets of a service, and a twentieth of the usual duration of a request is
/// soon enough.
inline constexpr std::chrono::milliseconds DecisionBatchInterval = 20ms;
/// The longest time that the decision thread waits for updates.
inline constexpr std::chrono::milliseconds DecisionIdleInterval = 500ms;
/// At the design size a node serves 280 requests/s: the ring stores more than
/// three seconds of observations, and the decision thread drains it in 0.1 s.
inline constexpr std::size_t ObservationRingSize = 1024;
/// Commands and updates between threads: twice the number of members of a large
/// failure domain.
inline constexpr std::size_t UpdateRingSize = 256;

// Probes of targets.
inline constexpr std::chrono::milliseconds ProbePeriod = 5s;
inline constexpr std::chrono::milliseconds ProbeTimeout = 1s;

// Platform.
inline constexpr std::chrono::milliseconds WatchLongPollTime = 20s;
inline constexpr std::chrono::milliseconds PlatformRetryBase = 200ms;
inline constexpr std::chrono::milliseconds PlatformRetryCap = 5s;
inline constexpr std::chrono::milliseconds InstanceListPeriod = 1s;
/// Nodes that are not watchers read the instance list with this period, or with
/// InstanceListPeriodPerMember times the number of members if that is longer.
inline constexpr std::chrono::milliseconds InstanceListIdlePeriod = 60s;
inline constexpr std::chrono::milliseconds InstanceListPeriodPerMember = 50ms;
inline constexpr std::chrono::milliseconds PlatformCallTimeout = 3s;
inline constexpr std::size_t MaxRecordBytes = 1024 * 1024;

// Membership.
/// A lost member must be removed from the responses to callers within 1.5 s:
/// one period until it is pinged, one until the ack is missed, and the
/// suspicion.
inline constexpr std::chrono::milliseconds GossipPeriod = 300ms;
/// Longer than a round trip between regions, 70 ms each way.
inline constexpr std::chrono::milliseconds GossipAckTimeout = 150ms;
inline constexpr std::chrono::milliseconds GossipTick = 50ms;
/// A node whose ticks are further apart than this has been paused.
inline constexpr std::chrono::milliseconds GossipPauseThreshold = 1s;
/// In one of this many periods a member of any failure domain is pinged, in the
/// others one of the node's own domain: traffic between failure domains is
/// expensive, and callers use the nodes of their own domain.
inline constexpr std::uint64_t CrossDomainPingPeriods = 4;
inline constexpr std::size_t GossipIndirectProbes = 3;
inline constexpr std::size_t GossipUpdatesPerMessage = 4;
/// Each update is sent this many times the decimal logarithm of the number of
/// members.
inline constexpr int GossipRetransmitFactor = 4;
/// Minimum duration of a suspicion, in gossip periods times that logarithm.
inline constexpr double SuspicionFactor = 1.2;
/// Maximum duration of a suspicion, as a multiple of the minimum, if the
/// slowness is 0.
inline constexpr int SuspicionMaxFactor = 2;
/// Confirmations by other members that shorten a suspicion to its minimum.
inline constexpr int SuspicionConfirmations = 3;
/// Upper bound of the slowness, the local health score of a node: its own
/// missed acks and refutations prolong the suspicions that it raises.
inline constexpr int MaxSlowness = 4;
/// Members that a node notifies when it leaves.
inline constexpr std::size_t LeaveMessages = 8;
inline constexpr std::chrono::milliseconds DeadMemberRetention = 600s;
inline constexpr std::size_t MaxDatagramBytes = 1400;
/// A datagram whose timestamp differs by more than this is rejected.
inline constexpr std::chrono::milliseconds GossipClockTolerance = 60s;
inline constexpr std::size_t MaxReplaySenders = 20'000;
/// Interval between requests for a complete table of members: the minimum after
/// a table with many new members, doubled after each one with few.
inline constexpr std::chrono::milliseconds MinMemberSyncInterval = 300ms;
inline constexpr std::chrono::milliseconds MaxMemberSyncInterval = 20s;
/// A table has many new members if at least one in this many is new.
inline constexpr std::size_t MemberSyncNewDivisor = 20;

/// A node that has received no datagram for this long reads the platform
/// itself. It is a few gossip periods, each of which usually brings at least
/// one.
inline constexpr std::chrono::milliseconds GossipSilenceTimeout = 1200ms;

// Distribution of configuration between nodes.
/// Nodes of each failure domain that read the platform in a fleet of up to
/// SmallFleetNodes nodes; in a larger one it is one of each domain.
inline constexpr std::size_t WatchersPerDomain = 2;
inline constexpr std::size_t SmallFleetNodes = 64;
/// The first watcher distributes nearly all updates; the others take over when
/// it is lost or the platform rejects it.
inline constexpr std::size_t MinWatchers = 3;
/// Members to which a node forwards an update that it does not send to all.
inline constexpr std::size_t UpdateFanout = 4;
/// Nodes of each other failure domain that a watcher notifies: a datagram may
/// be lost, and the comparison of digests takes a second.
inline constexpr std::size_t CrossDomainUpdateFanout = 2;
/// A record is sent to all members of the own failure domain if there are at
/// most this many others: a burst of datagrams of 20 KB in total.
inline constexpr std::size_t MaxDirectUpdateMembers = 24;
/// The same limit for a large instance among small ones: sending 250 KB of
/// routes to each of them takes about a second on its link of 200 Mbit/s.
inline constexpr std::size_t MaxDirectUpdateMembersLarge = 120;
inline constexpr std::size_t MaxInlineRecordBytes = 700;
inline constexpr std::chrono::milliseconds RecordSyncPeriod = 1s;
inline constexpr std::size_t DigestBuckets = 256;
inline constexpr std::chrono::milliseconds PeerCallTimeout = 2s;
/// A node that has compared its records with peers in this many failure domains
/// is ready to serve.
inline constexpr std::size_t ReadyDomains = 2;

// Reports on targets between nodes.
inline constexpr std::chrono::milliseconds ReportMaxAge = 3s;
inline constexpr std::chrono::milliseconds MinReportInterval = 50ms;
/// Consecutive failures from which on a node reports them.
inline constexpr std::uint32_t MinReportedStreak = 2;
inline constexpr std::size_t FastReporters = 2;
inline constexpr std::size_t CarefulReporters = 3;
inline constexpr std::size_t FastVerdicts = 1;
inline constexpr std::size_t CarefulVerdicts = 2;
/// Reports of an unreachable target count only from at least this many failure
/// domains: from one alone, the path is at fault.
inline constexpr std::size_t MinUnreachableDomains = 2;

// Requests that crash targets.
inline constexpr std::size_t CrashedTargetsToQuarantine = 2;
inline constexpr std::size_t MaxSuspectRequests = 10'000;
inline constexpr std::chrono::milliseconds QuarantineTime = 600s;
inline constexpr std::size_t MaxRecentResponses = 4096;
inline constexpr std::chrono::milliseconds RecentResponseTime = 60s;

// Shutdown.
inline constexpr std::chrono::milliseconds AcceptLingerTime = 500ms;
/// While draining, idle connections are kept open for at least this long for
/// one more request each, which must still end before the process does.
inline constexpr std::chrono::milliseconds DrainIdleLimit = 3s;
/// And at least this long after each was accepted or last used.
inline constexpr std::chrono::milliseconds DrainQuietTime = 300ms;
inline constexpr std::chrono::milliseconds ShutdownLimit = 60s;

} // namespace siskinstage::config

#endif // SISKINSTAGE_CONFIG_H
