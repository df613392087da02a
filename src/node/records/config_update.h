#ifndef SISKINSTAGE_NODE_RECORDS_CONFIG_UPDATE_H
#define SISKINSTAGE_NODE_RECORDS_CONFIG_UPDATE_H

#include "core/fleet/instance_list.h"
#include "core/fleet/member.h"
#include "core/fleet/peer_report.h"
#include "core/records/record_list.h"
#include "siskinstage/record.h"

#include <optional>
#include <variant>
#include <vector>

namespace siskinstage {

/// By which way records came to this node.
struct RecordOrigin {
  enum class Way {
    Platform,     ///< Read by this node.
    Update,       ///< In a peer's message.
    Announcement, ///< Read from a peer that announced the record.
    Comparison,   ///< Read from a peer whose digests differ.
  };
  Way Arrival = Way::Platform;
  Address Peer;         ///< Empty if they came from the platform.
  FailureDomain Domain; ///< Of the peer; empty if from the platform.
};

/// Validated records.
struct RecordBatch {
  std::vector<Record> Records;
  bool PlatformComplete = false; ///< All records of the platform were read.
  bool PlatformCurrent = false;  ///< They are known not to be stale.
  /// Records that the list lacks were deleted.
  std::optional<RecordList> Complete;
  /// This node no longer follows the platform, so that earlier lists are
  /// forgotten.
  bool ListsOutdated = false;
  RecordOrigin Origin;
  /// Set if all revisions were compared with a node of this domain.
  FailureDomain ComparedDomain;
};

/// The platform's list of instances.
struct InstanceBatch {
  std::vector<Instance> Instances;
};

/// The live members, including this node.
struct MemberBatch {
  std::vector<Member> Live;
  bool SelfWithdrawn = false; ///< This node is live, but no entry.
};

/// A report about a target, received from another node.
struct ReceivedReport {
  ServiceName Service;
  TargetId Target;
  PeerReport Report;
};

/// A message to the decision thread.
using ConfigUpdate =
    std::variant<RecordBatch, InstanceBatch, MemberBatch, ReceivedReport>;

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_RECORDS_CONFIG_UPDATE_H
