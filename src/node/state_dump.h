#ifndef SISKINSTAGE_NODE_STATE_DUMP_H
#define SISKINSTAGE_NODE_STATE_DUMP_H

#include <json/value.h>

namespace siskinstage {

struct NodeContext;
struct ServiceView;

/// Everything that the node knows and has decided, for operators. No secret
/// stands in it.
Json::Value stateDump(NodeContext &Context);

/// One service with its targets, their states and the reasons.
Json::Value serviceDump(const ServiceView &Service);

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_STATE_DUMP_H
