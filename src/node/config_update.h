#ifndef SISKINSTAGE_NODE_CONFIG_UPDATE_H
#define SISKINSTAGE_NODE_CONFIG_UPDATE_H

#include "core/instance_list.h"
#include "siskinstage/record.h"

#include <variant>
#include <vector>

namespace siskinstage {

/// Records that were read and found valid.
struct RecordBatch {
  std::vector<Record> Records;
  bool Complete = false; ///< All that the source held has now been read.
};

/// The platform's list of instances.
struct InstanceBatch {
  std::vector<Instance> Instances;
};

/// What the platform threads pass to the decision thread.
using ConfigUpdate = std::variant<RecordBatch, InstanceBatch>;

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_CONFIG_UPDATE_H
