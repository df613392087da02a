#ifndef SISKINSTAGE_NODE_OPERATORS_OPERATOR_PAGES_H
#define SISKINSTAGE_NODE_OPERATORS_OPERATOR_PAGES_H

#include "node/callers/page_port.h"

namespace siskinstage {

struct NodeContext;

/// Serves the operator pages: /healthz, /readyz, /metrics, /state and /explain.
/// \param Uri path and query of the request.
Page operatorPage(NodeContext &Context, const std::string &Uri);

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_OPERATORS_OPERATOR_PAGES_H
