#ifndef SISKINSTAGE_NODE_CONFIG_UPDATE_H
#define SISKINSTAGE_NODE_CONFIG_UPDATE_H

#include "core/instance_list.h"
#include "core/member.h"
#include "core/peer_report.h"
#include "siskinstage/record.h"

#include <variant>
#include <vector>

namespace siskinstage {

/// Records that were read and found valid.
struct RecordBatch {
  std::vector<Record> Records;
  bool PlatformComplete = false; ///< All that the platform held was read.
  bool PlatformCurrent = false;  ///< And it could not be stale.
  FailureDomain SourceDomain; ///< Of the node that passed them on; else empty.
  /// Set if all revisions have been compared with a node of this domain.
  FailureDomain ComparedDomain;
};

/// The platform's list of instances.
struct InstanceBatch {
  std::vector<Instance> Instances;
};

/// The live members, with this node.
struct MemberBatch {
  std::vector<Member> Live;
};

/// What another node reported of a target.
struct ReceivedReport {
  ServiceName Service;
  TargetId Target;
  PeerReport Report;
};

/// What the other threads pass to the decision thread.
using ConfigUpdate =
    std::variant<RecordBatch, InstanceBatch, MemberBatch, ReceivedReport>;

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_CONFIG_UPDATE_H
