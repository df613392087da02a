#ifndef SISKINSTAGE_CORE_RECORDS_RECORD_UPGRADE_H
#define SISKINSTAGE_CORE_RECORDS_RECORD_UPGRADE_H

#include <json/value.h>

namespace siskinstage {

/// Converts a record of schema 1 to schema 2:
///   - a target "a.b.c.d:port" becomes {"id", "address", "domain": ""};
///   - an account's "rate_per_minute" becomes "rate_per_s".
/// Fields of the wrong type are left unchanged and reported by the validation.
Json::Value upgradeSchema1(const Json::Value &Old);

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_RECORDS_RECORD_UPGRADE_H
