#ifndef SISKINSTAGE_NODE_OPERATORS_STATE_DUMP_H
#define SISKINSTAGE_NODE_OPERATORS_STATE_DUMP_H

#include <json/value.h>

namespace siskinstage {

struct NodeContext;
struct ServiceView;

/// The state of the node for operators, without secrets.
Json::Value stateDump(NodeContext &Context);

/// A service with its targets, their states and the reasons for them.
Json::Value serviceDump(const ServiceView &Service);

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_OPERATORS_STATE_DUMP_H
