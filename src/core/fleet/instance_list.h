#ifndef SISKINSTAGE_CORE_FLEET_INSTANCE_LIST_H
#define SISKINSTAGE_CORE_FLEET_INSTANCE_LIST_H

#include "siskinstage/error.h"
#include "siskinstage/strong_id.h"

#include <json/value.h>
#include <string>
#include <vector>

namespace siskinstage {

/// One instance in the platform's list. The list lags behind, so its entries
/// are hints only.
struct Instance {
  enum class Role { Node, Target };
  enum class State { Live, Leaving };
  std::string Id;
  Address Endpoint;
  FailureDomain Domain;
  Role InstanceRole = Role::Node;
  State InstanceState = State::Live;
};

/// Reads the platform's response {"instances": [...]}. An invalid entry is left
/// out, with a text for each of its faults in \p Warnings.
/// \returns an error if the response has no such array.
Result<std::vector<Instance>>
readInstanceList(const Json::Value &Response,
                 std::vector<std::string> &Warnings);

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_FLEET_INSTANCE_LIST_H
