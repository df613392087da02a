#ifndef SISKINSTAGE_NODE_TARGETS_NOTICE_FIELDS_H
#define SISKINSTAGE_NODE_TARGETS_NOTICE_FIELDS_H

#include "core/targets/target_notice.h"
#include "node/dialect.h"

#include <Poco/Net/HTTPResponse.h>

namespace siskinstage {

/// Reads what a target states in the head of a response. With status 421, the
/// response is that of another target at the address, and states nothing.
StatedNotices statedNotices(const Dialect &Headers,
                            const Poco::Net::HTTPResponse &Head);

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_TARGETS_NOTICE_FIELDS_H
