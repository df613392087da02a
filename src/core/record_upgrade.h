#ifndef SISKINSTAGE_CORE_RECORD_UPGRADE_H
#define SISKINSTAGE_CORE_RECORD_UPGRADE_H

#include <json/value.h>

namespace siskinstage {

/// Rewrites a record of schema 1 as schema 2:
///   - a target "a.b.c.d:port" becomes {"id", "address", "domain": ""};
///   - an account's "rate_per_minute" becomes "rate_per_s".
/// Fields of the wrong type are left as they are, for validation to report.
Json::Value upgradeSchema1(const Json::Value &Old);

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_RECORD_UPGRADE_H
