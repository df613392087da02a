#ifndef SISKINSTAGE_CORE_RECORDS_REVISION_CODEC_H
#define SISKINSTAGE_CORE_RECORDS_REVISION_CODEC_H

#include "siskinstage/units.h"

#include <json/value.h>
#include <optional>
#include <string>

namespace siskinstage {

/// Highest epoch that is accepted; it is exact as a floating-point number too.
inline constexpr std::uint64_t MaxHistoryEpoch = std::uint64_t{1} << 53U;

/// Names of the fields that hold the epoch and the writer's version of the
/// revision in \p Field. They are left out if they are zero.
std::string epochField(const std::string &Field);
std::string writerField(const std::string &Field);

/// Writes \p Rev to the field \p Field of \p Object and to those beside it.
void writeRevision(const Revision &Rev, const std::string &Field,
                   Json::Value &Object);
/// Reads what writeRevision wrote.
/// \returns nothing if a field is malformed or \p Field is missing.
std::optional<Revision> readRevision(const Json::Value &Object,
                                     const std::string &Field);

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_RECORDS_REVISION_CODEC_H
