#ifndef SISKINSTAGE_NODE_REQUESTS_EXPLAIN_PAGE_H
#define SISKINSTAGE_NODE_REQUESTS_EXPLAIN_PAGE_H

#include <json/value.h>
#include <map>
#include <string>

namespace siskinstage {

struct NodeContext;

/// Explains how a request would be routed: its route, service and
/// repeatability, and the states of the service's targets.
/// \param Query the host, path and method of the request, by these names.
Json::Value explainRequest(NodeContext &Context,
                           const std::map<std::string, std::string> &Query);

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_REQUESTS_EXPLAIN_PAGE_H
