#ifndef SISKINSTAGE_CORE_INSTANCE_LIST_H
#define SISKINSTAGE_CORE_INSTANCE_LIST_H

#include "siskinstage/error.h"
#include "siskinstage/strong_id.h"

#include <json/value.h>
#include <string>
#include <vector>

namespace siskinstage {

/// One instance as the platform's list shows it. The list lags: it is a hint.
struct Instance {
  enum class Role { Node, Target };
  enum class State { Live, Leaving };
  std::string Id;
  Address Endpoint;
  FailureDomain Domain;
  Role InstanceRole = Role::Node;
  State InstanceState = State::Live;
};

/// Reads the platform's answer {"instances": [...]}; an entry with a fault is
/// left out and named in \p Warnings.
Result<std::vector<Instance>>
readInstanceList(const Json::Value &Answer, std::vector<std::string> &Warnings);

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_INSTANCE_LIST_H
