#ifndef SISKINSTAGE_NODE_FLEET_GOSSIP_COMMAND_H
#define SISKINSTAGE_NODE_FLEET_GOSSIP_COMMAND_H

#include "core/fleet/gossip_message.h"
#include "core/records/record_broadcast.h"

#include <memory>
#include <variant>
#include <vector>

namespace siskinstage {

/// Sends an applied record to some members.
struct BroadcastRecord {
  RecordUpdate Update;
  RecordSender From;
};

/// Sends a report about a target to the given nodes.
struct SendReport {
  TargetReport Report;
  std::vector<Address> Recipients;
};

/// Sends the estimated probability that a target is gray to the given nodes.
struct SendGrayEstimate {
  GrayEstimateUpdate Estimate;
  std::shared_ptr<const std::vector<Address>> Recipients;
};

/// Tells the given nodes about the rate limit of a target.
struct SendRateLimit {
  RateLimitUpdate Update;
  std::shared_ptr<const std::vector<Address>> Recipients;
};

/// Sets the addresses that are contacted to join the fleet, and to rejoin parts
/// of it after a network partition.
struct SetSeeds {
  std::vector<Address> Seeds;
};

/// Sets whether this node fails to read the platform.
struct SetPlatformUnreachable {
  bool Unreachable = false;
};

/// A message to the gossip thread: a command, a crash report to forward, or a
/// peer's table of members to merge.
using GossipCommand =
    std::variant<BroadcastRecord, SendReport, SendGrayEstimate, SendRateLimit,
                 SetSeeds, SetPlatformUnreachable, CrashReport,
                 std::vector<Member>>;

/// Task of the sync thread: to read data from a peer that differs from the data
/// of this node.
struct SyncTask {
  enum class Kind { Records, OneRecord, Members };
  Kind TaskKind = Kind::Records;
  Address Peer;
  FailureDomain Domain; ///< Of the peer.
  RecordKey Key;        ///< Only for OneRecord.
  Revision Rev;         ///< Announced revision; only for OneRecord.
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_FLEET_GOSSIP_COMMAND_H
