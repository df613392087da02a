#ifndef SISKINSTAGE_NODE_RATE_LIMIT_LOG_H
#define SISKINSTAGE_NODE_RATE_LIMIT_LOG_H

#include <string>

namespace siskinstage {

struct ServiceView;
struct TargetView;

/// Logs that the rate limit of a target has changed.
/// \param Source the request or the node from which this node knows it.
void logRateLimit(const ServiceView &Service, const TargetView &Target,
                  const std::string &Source);

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_RATE_LIMIT_LOG_H
