#ifndef SISKINSTAGE_NODE_GOSSIP_COMMAND_H
#define SISKINSTAGE_NODE_GOSSIP_COMMAND_H

#include "core/gossip_message.h"
#include "core/news_spread.h"

#include <memory>
#include <variant>
#include <vector>

namespace siskinstage {

/// Tells some members of a new record.
struct BroadcastRecord {
  RecordNews Update;
  NewsSource Source = NewsSource::Platform;
};

/// Tells the named nodes of a target.
struct SendReport {
  TargetReport Report;
  std::vector<Address> Recipients;
};

/// Tells the named nodes how likely a target is gray.
struct SendGrayEstimate {
  GrayNews Estimate;
  std::shared_ptr<const std::vector<Address>> Recipients;
};

/// Addresses at which lost parts of the fleet may be found.
struct SetSeeds {
  std::vector<Address> Seeds;
};

/// Whether this node can read the platform.
struct SetPlatformUnreachable {
  bool Unreachable = false;
};

/// What the other threads ask of the gossip thread.
using GossipCommand =
    std::variant<BroadcastRecord, SendReport, SendGrayEstimate, SetSeeds,
                 SetPlatformUnreachable, CrashNews, std::vector<Member>>;

/// Reads what differs from a peer: its records, or its table of members.
struct SyncTask {
  enum class Kind { Records, OneRecord, Members };
  Kind TaskKind = Kind::Records;
  Address Peer;
  FailureDomain Domain;
  RecordKey Key; ///< For OneRecord.
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_GOSSIP_COMMAND_H
