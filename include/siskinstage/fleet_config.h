#ifndef SISKINSTAGE_FLEET_CONFIG_H
#define SISKINSTAGE_FLEET_CONFIG_H

#include <chrono>
#include <cstddef>
#include <cstdint>

/// The tunables of the platform, the membership and what nodes exchange.
namespace siskinstage::config {

using namespace std::chrono_literals;

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
/// Minimum duration of a suspicion, in gossip periods times the decimal
/// logarithm of the number of members.
inline constexpr double SuspicionFactor = 1.2;
/// Maximum duration of a suspicion, as a multiple of the minimum, that a node
/// with a slowness of 0 (see MaxSlowness) raises.
inline constexpr int SuspicionMaxFactor = 2;
/// Confirmations by other members that shorten a suspicion to its minimum.
inline constexpr int SuspicionConfirmations = 3;
/// Upper bound of the slowness of a node, its local health score as in
/// Lifeguard: missed acks and refutations raise it, and it prolongs the
/// suspicions that the node raises.
inline constexpr int MaxSlowness = 4;
/// Members that a node notifies when it leaves.
inline constexpr std::size_t LeaveMessages = 8;
inline constexpr std::chrono::milliseconds DeadMemberRetention = 600s;
inline constexpr std::size_t MaxDatagramBytes = 1400;
/// A datagram whose timestamp differs by more than this is rejected.
inline constexpr std::chrono::milliseconds GossipClockTolerance = 60s;
inline constexpr std::size_t MaxReplaySenders = 20'000;
/// Interval between requests for a complete table of members: it doubles with
/// each request, and a table with many new members resets it to the minimum.
inline constexpr std::chrono::milliseconds MinMemberSyncInterval = 300ms;
inline constexpr std::chrono::milliseconds MaxMemberSyncInterval = 20s;
/// A table has many new members if at least one in this many is new.
inline constexpr std::size_t MemberSyncNewDivisor = 20;

/// A node that has received no datagram for this long reads the platform
/// itself. It is a few gossip periods; in each, a node usually receives at
/// least one datagram.
inline constexpr std::chrono::milliseconds GossipSilenceTimeout = 1200ms;

/// For this long after the platform has returned from an older copy, messages
/// tell when that was noticed, so that a node which was cut off or frozen
/// meanwhile learns it.
inline constexpr std::chrono::milliseconds EpochNoticeTime = 30s;

// Distribution of configuration between nodes.
/// Nodes of each failure domain that read the platform in a fleet of up to
/// SmallFleetNodes nodes; in a larger fleet, one node of each domain does.
inline constexpr std::size_t WatchersPerDomain = 2;
inline constexpr std::size_t SmallFleetNodes = 64;
/// Minimum number of watchers in a larger fleet. The first one distributes
/// nearly all updates; the others take over when it is lost or the platform
/// rejects its requests.
inline constexpr std::size_t MinWatchers = 3;
/// Members to which a node forwards an update that it does not send to all.
inline constexpr std::size_t UpdateFanout = 4;
/// Nodes of each other failure domain that a watcher notifies of an update.
/// More than one, as a datagram may be lost and the comparison of digests,
/// which makes up for it, takes a second.
inline constexpr std::size_t CrossDomainUpdateFanout = 2;
/// A record is sent to all members of the own failure domain if there are at
/// most this many others: a burst of datagrams of 20 KB in total.
inline constexpr std::size_t MaxDirectUpdateMembers = 24;
/// The same limit for a large instance among small ones: sending 250 KB of
/// routes to each of them takes about a second on its link of 200 Mbit/s.
inline constexpr std::size_t MaxDirectUpdateMembersLarge = 120;
inline constexpr std::size_t MaxInlineRecordBytes = 700;
inline constexpr std::chrono::milliseconds RecordSyncPeriod = 1s;
/// While digests differ, a node requests the latest records at most once in
/// this period.
inline constexpr std::chrono::milliseconds RecordRequestPeriod = 150ms;
/// How long a node sends a record to others that lack it, several times as long
/// as a change may take.
inline constexpr std::chrono::milliseconds RecentRecordTime = 10s;
/// As many as change in RecentRecordTime while the targets of a service are
/// replaced.
inline constexpr std::size_t MaxRecentRecords = 128;
/// Marks of records in one message, and records that it may request.
inline constexpr std::size_t MaxRecordMarks = 64;
inline constexpr std::size_t MaxRequestedRecords = 16;
inline constexpr std::size_t DigestBuckets = 256;
inline constexpr std::chrono::milliseconds PeerCallTimeout = 2s;
/// A node that has compared its records with peers in this many failure domains
/// is ready to serve.
inline constexpr std::size_t ReadyDomains = 2;

// Reports on targets between nodes.
inline constexpr std::chrono::milliseconds ReportMaxAge = 3s;
inline constexpr std::chrono::milliseconds MinReportInterval = 50ms;
/// Number of consecutive failures from which on a node reports them.
inline constexpr std::uint32_t MinReportedStreak = 2;
/// Nodes whose reports of failures suffice for an ejection.
inline constexpr std::size_t FastReporters = 2;
inline constexpr std::size_t CarefulReporters = 3;
/// Nodes whose ejections suffice for an ejection.
inline constexpr std::size_t FastVerdicts = 1;
inline constexpr std::size_t CarefulVerdicts = 2;
/// Reports that a target is unreachable count only if they come from at least
/// this many failure domains: with reports from one alone, the path is at
/// fault.
inline constexpr std::size_t MinUnreachableDomains = 2;

// Soft state between nodes.
inline constexpr std::size_t MaxSoftStateKeyBytes = 200;
inline constexpr std::size_t MaxSoftStateValueBytes = 400;
/// A few periods in which an owner writes an entry again.
inline constexpr std::chrono::milliseconds MaxSoftStateLifetime = 60s;
/// How long an ended entry is kept as a marker: a datagram that is older is
/// rejected, so that no copy of the entry arrives later.
inline constexpr std::chrono::milliseconds SoftStateRetention =
    GossipClockTolerance;

} // namespace siskinstage::config

#endif // SISKINSTAGE_FLEET_CONFIG_H
