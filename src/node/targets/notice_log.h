#ifndef SISKINSTAGE_NODE_TARGETS_NOTICE_LOG_H
#define SISKINSTAGE_NODE_TARGETS_NOTICE_LOG_H

#include "core/targets/target_notices.h"

#include <string>

namespace siskinstage {

struct ServiceView;
struct TargetView;

/// Logs that the rate limit of a target has changed.
/// \param Source the request or the node from which this node knows it.
void logRateLimit(const ServiceView &Service, const TargetView &Target,
                  const std::string &Source);

/// Logs the changes that a response of a target has made.
/// \param Source the request that got the response.
void logNotices(const ServiceView &Service, const TargetView &Target,
                const StatedNotices &Stated, const TargetNotices::Effect &Made,
                const std::string &Source);

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_TARGETS_NOTICE_LOG_H
