#ifndef SISKINSTAGE_CONFIG_H
#define SISKINSTAGE_CONFIG_H

#include <chrono>
#include <cstddef>
#include <cstdint>

/// Every tunable of the system, with its unit. Nothing else in the code holds a
/// bare limit or period.
namespace siskinstage::config {

using namespace std::chrono_literals;

// Callers' port.
inline constexpr std::size_t MaxHeaderBytes = 32 * 1024;
inline constexpr std::size_t MaxHeaderCount = 100;
inline constexpr std::uint64_t MaxBodyBytes = 64ULL * 1024 * 1024;
/// A request or answer body up to this size is held in memory so that an early
/// failure can be retried; a longer one is streamed.
inline constexpr std::size_t ReplayBufferBytes = 256 * 1024;
inline constexpr std::size_t StreamChunkBytes = 16 * 1024;
inline constexpr std::size_t MaxChunkLineBytes = 256;
inline constexpr std::size_t MaxTrailerBytes = 4 * 1024;
inline constexpr std::chrono::milliseconds HeaderReadTimeout = 10s;
inline constexpr std::chrono::milliseconds CallerIdleTimeout = 75s;
inline constexpr std::chrono::milliseconds CallerWriteTimeout = 30s;
/// After the last answer, what the caller still sends is read so long, so that
/// the answer is not lost with a reset.
inline constexpr std::chrono::milliseconds LingerTimeout = 500ms;
inline constexpr int CallerThreadStackBytes = 256 * 1024;
inline constexpr int CallerListenBacklog = 1024;
/// Threads for callers, one a request, and the last one refuses: more than the
/// largest entry has in flight, 160 requests/s that wait two seconds in
/// overload.
inline constexpr int MaxCallerThreads = 400;
/// Calls of other nodes, the platform and operators that are served at once.
inline constexpr int MaxControlThreads = 24;
inline constexpr std::size_t MaxControlConnections = 1000;
/// Connections past their idle limit are looked for so often.
inline constexpr std::chrono::milliseconds IdleSweepPeriod = 1s;
// Ports with pages: readiness, directory, operators.
inline constexpr std::chrono::milliseconds PageReadTimeout = 2s;
inline constexpr std::chrono::milliseconds PageWriteTimeout = 5s;
/// The platform asks once a second on a connection that it may keep.
inline constexpr std::chrono::milliseconds PageIdleTimeout = 5s;
inline constexpr std::chrono::milliseconds DefaultDeadline = 10s;
inline constexpr std::chrono::milliseconds MaxDeadline = 300s;

// Connections to targets.
inline constexpr std::size_t MaxConnectionsPerTarget = 16;
/// Some round trips between regions, 70 ms each: a longer wait is a lost packet
/// or a cut path, and another target is tried sooner than either heals.
inline constexpr std::chrono::milliseconds ConnectTimeout = 200ms;
/// Targets that one request may fail to reach; it was sent to none of them.
inline constexpr int MaxConnectFailures = 4;
inline constexpr std::chrono::milliseconds TargetIdleLimit = 15s;
inline constexpr std::chrono::milliseconds TargetAgeLimit = 300s;
/// A pooled connection that answered within this time counts as proved alive.
inline constexpr std::chrono::milliseconds AtMostOnceIdleLimit = 50ms;
inline constexpr std::chrono::milliseconds BodyStallTimeout = 5s;
/// Heads before the final one on a connection: hints, and the end of answers to
/// earlier requests.
inline constexpr int MaxInterimResponses = 16;
/// While a service's usual latency is not known, a request without an answer
/// is overdue after this time.
inline constexpr std::chrono::milliseconds DefaultOverdueAge = 500ms;

// Retries.
inline constexpr int MaxAttempts = 4;
inline constexpr double RetryBudgetFraction = 0.1;
inline constexpr double RetryBudgetBurst = 10.0;
inline constexpr std::chrono::milliseconds RetryBackoffBase = 2ms;
inline constexpr std::chrono::milliseconds RetryBackoffCap = 100ms;

/// When a refused request may come again: after about one request's length, in
/// which a slot becomes free.
inline constexpr std::chrono::milliseconds MinRetryAfter = 200ms;
inline constexpr std::chrono::milliseconds MaxRetryAfter = 600ms;
/// Part of a route's objective after which a request is overdue while the
/// service's usual latency is not known: another try must still fit in.
inline constexpr double OverdueObjectiveFraction = 0.6;

// Admission to a service whose slots are all taken.
inline constexpr int MaxQueuePerService = 256;
inline constexpr std::chrono::milliseconds MaxQueueWait = 2s;
inline constexpr std::chrono::milliseconds QueuePollPeriod = 20ms;

// Choice among targets.
/// What a target of another failure domain must be less loaded by, as a share
/// of its slots: between one and two requests of three. One node then knows
/// most of what a target has unfinished, and borrows before its queue grows.
inline constexpr double CrossDomainPenalty = 0.45;
/// The same for a request with a large body, whose bytes between failure
/// domains cost a fifth of its worth: it leaves the domain for a free slot
/// only.
inline constexpr double LargeBodyPenalty = 0.7;
inline constexpr std::size_t LargeBodyBytes = 16 * 1024;
/// The load that a target stated counts for this long: the length of a usual
/// request, after which half of what it ran has ended.
inline constexpr std::chrono::milliseconds ReportedLoadMaxAge = 300ms;

// Idempotency keys.
inline constexpr std::chrono::seconds KeyEpochLength = 300s;
/// A key stays valid in its own epoch and in this many later ones.
inline constexpr std::uint32_t KeyEpochsRetained = 1;
inline constexpr std::size_t KeyTableCapacity = 200'000;
inline constexpr std::size_t MaxKeyResponseBytes = ReplayBufferBytes;
inline constexpr std::size_t KeyTableBytes = 64 * 1024 * 1024;
inline constexpr std::size_t MaxKeyBytes = 200;
inline constexpr std::size_t KeyMacBytes = 8;
/// A caller may use an entries answer for this long.
inline constexpr std::chrono::milliseconds EntriesTtl = 30s;
inline constexpr std::size_t EntriesPerAccount = 4;
/// One node of a service's group for this many slots of its targets.
inline constexpr std::size_t SlotsPerGroupNode = 5;
/// In a failure domain of more nodes than this, callers are steered to one of
/// so many of them: the traffic of a large domain is too much for one node.
inline constexpr std::size_t LargeDomainNodes = 16;
inline constexpr std::size_t NodesPerEntry = 4;
/// A machine counts as large if its capacity times this reaches the largest
/// one's: machines of one delivery differ by less.
inline constexpr std::uint32_t LargeCapacityFactor = 2;
/// With fewer large machines than this in a domain, the loss of one would leave
/// it without any.
inline constexpr std::size_t MinLargeEntries = 2;
inline constexpr std::chrono::milliseconds EntriesForwardTimeout = 300ms;
inline constexpr std::size_t MaxRelayPeers = 2;
inline constexpr int MaxForwardHops = 2;

// Health of targets, local evidence.
inline constexpr std::size_t HealthWindow = 32;
inline constexpr std::uint32_t FastConsecutiveFailures = 3;
inline constexpr std::uint32_t CarefulConsecutiveFailures = 5;
inline constexpr double FastFailureFraction = 0.3;
inline constexpr double CarefulFailureFraction = 0.5;
inline constexpr std::size_t MinWindowSamples = 8;
/// A work is slow from this many times the service's high latency on.
inline constexpr double SlowFactorFast = 3.0;
inline constexpr double SlowFactorCareful = 5.0;
/// A request is overdue, and another try may be made, at the age that this part
/// of a sound target's requests reach.
inline constexpr double OverdueProbabilityFast = 0.05;
inline constexpr double OverdueProbabilityCareful = 0.02;
/// Whether an overdue request had better go elsewhere is asked again so often:
/// a slot comes free in less than a usual request.
inline constexpr std::chrono::milliseconds OverduePollPeriod = 100ms;
inline constexpr std::chrono::milliseconds MinSlowLatency = 50ms;
/// A request that waits for so long counts as a failure before its end.
inline constexpr std::chrono::milliseconds MinOverdueAge = 300ms;
/// A time-out says something of a target only after it had this long.
inline constexpr std::chrono::milliseconds MinTimeoutForEvidence = 200ms;
/// A target stays marked as leaving for this long after its last such sign.
inline constexpr std::chrono::milliseconds LeavingRetention = 10s;
inline constexpr std::chrono::milliseconds InitialEjectionTime = 2s;
/// Part of all targets that are in a gray spell when nothing is known of them.
inline constexpr double GrayPriorProbability = 0.2;
/// Time in which what is known of a target fades to a third: spells of about
/// nine seconds, which begin anew after some four times as long.
inline constexpr std::chrono::milliseconds GrayDecayTime = 7s;
/// Failures among the requests of a sound target.
inline constexpr double HealthyFailureRatio = 0.015;
/// Part of a sound target's requests that become overdue.
inline constexpr double HealthyOverdueRatio = 0.04;
/// Part of a sound target's requests that get no answer in time.
inline constexpr double HealthyTimeoutRatio = 0.005;
/// No evidence makes the chance of a spell, or of none, less than this.
inline constexpr double MinGrayProbability = 0.005;
/// From this chance on a target counts as gray towards the other nodes.
inline constexpr double GrayThreshold = 0.4;
/// A target without a request for so long has no work.
inline constexpr std::chrono::milliseconds WorkWindow = 2s;
/// A target without a request for so long is idle: half of the work window, so
/// that the next one still reaches it within the window.
inline constexpr std::chrono::milliseconds TrialIdleTime = WorkWindow / 2;
/// An idle target is tried once its chance of being gray is below this: less
/// than even, so that a trial more often returns a target than loses a request.
inline constexpr double TrialMaxGrayProbability = 0.45;
/// A target that is probably gray gets one request at a time: each further one
/// tells nothing sooner.
inline constexpr double SingleRequestThreshold = 0.5;
/// Part of the handicap that counts for work which may run twice: its failure
/// costs a retry, and it finds out what work that must not run twice would pay
/// for.
inline constexpr double RepeatablePenaltyFactor = 0.4;
/// Penalty of a doubted target, in loads of all its slots: more than any
/// target that is not doubted can have.
inline constexpr double SuspectedPenalty = 2.0;
/// Part of its requests that a hanging target never answers.
inline constexpr double GrayFailureRatio = 0.75;
/// Lowest chance that a request of a sound target is taken to have of being
/// unfinished: one in a hundred takes several times as long as usual.
inline constexpr double MinUnfinishedProbability = 0.01;
/// A target with a lower handicap counts as sound: it hangs with less than an
/// even chance.
inline constexpr double MaxHealthyPenalty = SuspectedPenalty / 2;
/// Penalty of a target that hangs for certain, in loads of all its slots.
inline constexpr double HangPenalty = SuspectedPenalty;
/// Successes of a service whose latencies are kept together.
inline constexpr std::size_t PooledLatencyCount = 64;
/// The quantile that counts as a high latency.
inline constexpr double HighLatencyQuantile = 0.9;
inline constexpr std::chrono::milliseconds MaxEjectionTime = 60s;
inline constexpr std::chrono::milliseconds ProbationRamp = 5s;
/// A failure newer than this still counts towards an ejection.
inline constexpr std::chrono::milliseconds EvidenceMaxAge = 10s;
inline constexpr std::chrono::milliseconds EjectionCountRetention = 120s;
/// While a verdict changes with time it is decided again so often.
inline constexpr std::chrono::milliseconds DecisionPeriod = 50ms;
/// News within this time is decided on together: each pass weighs all targets
/// of a service, and a twentieth of a usual request is soon enough.
inline constexpr std::chrono::milliseconds DecisionBatchInterval = 20ms;
/// The decision thread's longest wait for news.
inline constexpr std::chrono::milliseconds DecisionIdleInterval = 500ms;
/// At the design size a node serves 280 requests a second: three seconds of
/// them, where the decision thread empties the ring in a tenth of one.
inline constexpr std::size_t ObservationRingSize = 1024;
/// Orders and news between threads: one for each member of a large domain and
/// as many again.
inline constexpr std::size_t UpdateRingSize = 256;

// Probes of targets.
inline constexpr std::chrono::milliseconds ProbePeriod = 5s;
inline constexpr std::chrono::milliseconds ProbeTimeout = 1s;

// Platform.
inline constexpr std::chrono::milliseconds WatchLongPollTime = 20s;
inline constexpr std::chrono::milliseconds PlatformRetryBase = 200ms;
inline constexpr std::chrono::milliseconds PlatformRetryCap = 5s;
inline constexpr std::chrono::milliseconds InstanceListPeriod = 1s;
/// Nodes that are no watchers read the instance list this seldom, and more
/// seldom by the number of members.
inline constexpr std::chrono::milliseconds InstanceListIdlePeriod = 60s;
inline constexpr std::chrono::milliseconds InstanceListPeriodPerMember = 50ms;
inline constexpr std::chrono::milliseconds PlatformCallTimeout = 3s;
inline constexpr std::size_t MaxRecordBytes = 1024 * 1024;

// Membership.
/// A lost member must leave the answers to callers within 1.5 s: a period to be
/// pinged, one to miss the ack, and the suspicion.
inline constexpr std::chrono::milliseconds GossipPeriod = 300ms;
/// Longer than a round trip between regions, 70 ms each way.
inline constexpr std::chrono::milliseconds GossipAckTimeout = 150ms;
inline constexpr std::chrono::milliseconds GossipTick = 50ms;
/// A node whose ticks lie this far apart has been paused.
inline constexpr std::chrono::milliseconds GossipPauseThreshold = 1s;
/// Every so many periods a member of any failure domain is pinged, else one of
/// the own: bytes between failure domains are dear, and callers ask the nodes
/// of their own domain.
inline constexpr std::uint64_t CrossDomainPingPeriods = 4;
inline constexpr std::size_t GossipIndirectProbes = 3;
inline constexpr std::size_t GossipUpdatesPerMessage = 4;
/// Each piece of news is sent this many times the logarithm of the members.
inline constexpr int GossipRetransmitFactor = 4;
/// A suspicion lasts at least this many periods times that logarithm.
inline constexpr double SuspicionFactor = 1.2;
inline constexpr int SuspicionMaxFactor = 2;
inline constexpr int SuspicionConfirmations = 3;
inline constexpr int MaxSlowness = 4;
inline constexpr std::size_t LeaveMessages = 8;
inline constexpr std::chrono::milliseconds DeadMemberRetention = 600s;
inline constexpr std::size_t MaxDatagramBytes = 1400;
/// A datagram whose time stamp is further off than this is refused.
inline constexpr std::chrono::milliseconds GossipClockTolerance = 60s;
inline constexpr std::size_t MaxReplaySenders = 20'000;
/// Time between two questions for a whole table of members: as soon as a table
/// has told much, twice as long after each that told little.
inline constexpr std::chrono::milliseconds MinMemberSyncInterval = 300ms;
inline constexpr std::chrono::milliseconds MaxMemberSyncInterval = 20s;
/// A table told much if one of so many members in it was new.
inline constexpr std::size_t MemberSyncNewDivisor = 20;

/// A node that has heard of no other for so long reads the platform itself: a
/// few periods, in each of which a datagram or more is usual.
inline constexpr std::chrono::milliseconds GossipSilenceTimeout = 1200ms;

// Configuration between nodes.
/// Nodes of each failure domain that read the platform in a fleet of up to so
/// many nodes; in a larger one it is one of each domain.
inline constexpr std::size_t WatchersPerDomain = 2;
inline constexpr std::size_t SmallFleetNodes = 64;
/// The first passes nearly all news on; the others stand in when it is lost or
/// refused.
inline constexpr std::size_t MinWatchers = 3;
inline constexpr std::size_t UpdateFanout = 4;
/// Nodes of each other failure domain that a watcher tells: a datagram may be
/// lost, and the comparison of digests takes a second.
inline constexpr std::size_t CrossDomainUpdateFanout = 2;
/// A record is told to all nodes of a failure domain with up to so many others:
/// one burst of datagrams of 20 KB in all.
inline constexpr std::size_t MaxDirectUpdateMembers = 24;
/// And by a large machine among small ones with up to so many: 250 KB of routes
/// for each of them take its link of 200 Mbit/s about a second.
inline constexpr std::size_t MaxDirectUpdateMembersLarge = 120;
inline constexpr std::size_t MaxInlineRecordBytes = 700;
inline constexpr std::chrono::milliseconds RecordSyncPeriod = 1s;
inline constexpr std::size_t DigestBuckets = 256;
inline constexpr std::chrono::milliseconds PeerCallTimeout = 2s;
/// A node that has compared with peers in this many failure domains knows
/// enough to serve.
inline constexpr std::size_t ReadyDomains = 2;

// Reports of targets between nodes.
inline constexpr std::chrono::milliseconds ReportMaxAge = 3s;
inline constexpr std::chrono::milliseconds MinReportInterval = 50ms;
/// Failures in a row from which on they are reported.
inline constexpr std::uint32_t MinReportedStreak = 2;
inline constexpr std::size_t FastReporters = 2;
inline constexpr std::size_t CarefulReporters = 3;
inline constexpr std::size_t FastVerdicts = 1;
inline constexpr std::size_t CarefulVerdicts = 2;
/// A report that a target can't be reached counts from so many failure domains.
inline constexpr std::size_t MinUnreachableDomains = 2;

// Requests that crash targets.
inline constexpr std::size_t CrashedTargetsToQuarantine = 2;
inline constexpr std::size_t MaxSuspectRequests = 10'000;
inline constexpr std::chrono::milliseconds QuarantineTime = 600s;
inline constexpr std::size_t MaxAnsweredRequests = 4096;
inline constexpr std::chrono::milliseconds AnsweredRetention = 60s;

// Shutdown.
inline constexpr std::chrono::milliseconds AcceptLingerTime = 500ms;
/// While draining, idle connections are kept so long for one more request each,
/// which must still end before the process does.
inline constexpr std::chrono::milliseconds DrainIdleLimit = 3s;
/// And each for so long after it came or was last used.
inline constexpr std::chrono::milliseconds DrainQuietTime = 300ms;
inline constexpr std::chrono::milliseconds ShutdownLimit = 60s;

} // namespace siskinstage::config

#endif // SISKINSTAGE_CONFIG_H
