#ifndef SISKINSTAGE_NODE_EXPLAIN_PAGE_H
#define SISKINSTAGE_NODE_EXPLAIN_PAGE_H

#include <json/value.h>
#include <map>
#include <string>

namespace siskinstage {

struct NodeContext;

/// Reports how a request would be routed: its route, service, repeatability
/// and the service's targets with their states.
/// \param Query host, path and method of the request.
Json::Value explainRequest(NodeContext &Context,
                           const std::map<std::string, std::string> &Query);

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_EXPLAIN_PAGE_H
